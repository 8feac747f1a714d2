package org.cactusshift.internal.transport.http;

import java.io.IOException;
import org.cactusshift.errors.Failure;

/** Signals that an exchange with an upstream failed, and whether the request may have been sent. */
public final class UpstreamException extends IOException {
    private static final long serialVersionUID = 1L;

    /** How the exchange failed. */
    public enum Loss {
        /** No byte of the request can have reached the upstream. */
        NOT_SENT,
        /** The connection failed or was closed by either side, or the response was malformed or too large. */
        CLOSED,
        /** No byte was received within the progress timeout. */
        SILENT,
        /** The response was no longer needed, so the exchange was abandoned. */
        ABANDONED
    }

    private final Loss loss;
    private final transient Failure failure;

    private UpstreamException(Loss loss, Failure failure) {
        super(failure.toString());
        this.loss = loss;
        this.failure = failure;
    }

    static UpstreamException of(Loss loss, String step, String address, String message) {
        Failure failure = loss == Loss.NOT_SENT
                ? Failure.noEffect(step, address, message)
                : Failure.unknownEffect(step, address, message);
        return new UpstreamException(loss, failure);
    }

    /**
     * Returns the kind of the failure.
     *
     * @return how the exchange failed
     */
    public Loss loss() {
        return loss;
    }

    /**
     * Returns the failure with its step, the address of the upstream and a message.
     *
     * @return the failure
     */
    public Failure failure() {
        return failure;
    }
}
