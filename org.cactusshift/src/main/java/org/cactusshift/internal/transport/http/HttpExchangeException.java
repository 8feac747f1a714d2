package org.cactusshift.internal.transport.http;

import java.io.IOException;
import org.cactusshift.errors.Failure;

/** Signals that an exchange with an HTTP server failed, and whether the request may have been sent. */
public final class HttpExchangeException extends IOException {
    private static final long serialVersionUID = 1L;

    /** How the exchange failed. */
    public enum Reason {
        /** No byte of the request can have reached the server. */
        NOT_SENT,
        /** The connection failed or was closed by either side, or the response was malformed or too large. */
        CLOSED,
        /** No byte was received within the progress timeout. */
        SILENT,
        /** The server sent only responses that answer other requests. */
        UNMATCHED,
        /** The response was no longer needed, so the exchange was abandoned. */
        ABANDONED
    }

    private final Reason reason;
    private final transient Failure failure;

    private HttpExchangeException(Reason reason, Failure failure) {
        super(failure.toString());
        this.reason = reason;
        this.failure = failure;
    }

    static HttpExchangeException of(Reason reason, String step, String address, String message) {
        Failure failure = reason == Reason.NOT_SENT
                ? Failure.noEffect(step, address, message)
                : Failure.unknownEffect(step, address, message);
        return new HttpExchangeException(reason, failure);
    }

    /**
     * Returns the reason of the failure.
     *
     * @return how the exchange failed
     */
    public Reason reason() {
        return reason;
    }

    /**
     * Returns the failure with its step, the address of the server and a message.
     *
     * @return the failure
     */
    public Failure failure() {
        return failure;
    }
}
