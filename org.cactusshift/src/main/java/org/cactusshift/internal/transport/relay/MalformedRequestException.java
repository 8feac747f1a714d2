package org.cactusshift.internal.transport.relay;

/** A request that cannot be parsed; the message tells the caller what is wrong and contains no key. */
public final class MalformedRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong with the request
     */
    public MalformedRequestException(String message) {
        super(message);
    }
}
