package org.cactusshift.pgm;

/** Thrown if the command line is invalid. */
public class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the reason
     */
    public UsageException(String message) {
        super(message);
    }
}
