package org.cactusshift.errors;

/** Base class of the checked exceptions of the public API; carries the {@link Failure}. */
public class CactusshiftException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Failure failure;

    /**
     * Creates the exception.
     *
     * @param failure the failure of the step
     */
    public CactusshiftException(Failure failure) {
        super(failure.toString());
        this.failure = failure;
    }

    /**
     * Returns the failure.
     *
     * @return the failure; null after deserialization
     */
    public Failure failure() {
        return failure;
    }
}
