package org.cactusshift.pgm;

/** The command line is wrong. */
public class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong
     */
    public UsageException(String message) {
        super(message);
    }
}
