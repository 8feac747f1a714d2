package org.cactusshift.internal.transport.relay;

/** A request that cannot be read; the message tells the caller what is wrong and holds no key. */
public final class MalformedRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong
     */
    public MalformedRequestException(String message) {
        super(message);
    }
}
