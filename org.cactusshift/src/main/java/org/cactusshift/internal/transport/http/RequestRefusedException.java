package org.cactusshift.internal.transport.http;

import org.apache.hc.core5.http.HttpException;

/** A request that the listener answers itself, with a status. */
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
