package org.cactusshift.errors;

/** Base of the exceptions that cross the public API; carries the {@link Failure}. */
public class CactusshiftException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Failure failure;

    /**
     * Creates the exception.
     *
     * @param failure the failed step
     */
    public CactusshiftException(Failure failure) {
        super(failure.toString());
        this.failure = failure;
    }

    /**
     * Returns the failed step.
     *
     * @return the failure, never null
     */
    public Failure failure() {
        return failure;
    }
}
