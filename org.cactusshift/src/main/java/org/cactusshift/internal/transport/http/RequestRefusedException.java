package org.cactusshift.internal.transport.http;

import org.apache.hc.core5.http.HttpException;

/** Signals a request that the listener refuses with an HTTP status, without calling the handler. */
final class RequestRefusedException extends HttpException {
    private static final long serialVersionUID = 1L;

    private final int status;

    RequestRefusedException(int status, String message) {
        super(message);
        this.status = status;
    }

    int status() {
        return status;
    }
}
