package org.cactusshift.standin;

import java.io.IOException;

/** Handles the requests of one stand-in. */
public interface StandInHandler {
    /**
     * Applies a request and returns its response. A streamed response is produced later, as the server calls its
     * writer.
     *
     * @param request the request
     * @return the response, which the server sends afterwards
     * @throws IOException to close the connection without a response
     */
    StandInResponse handle(StandInRequest request) throws IOException;

    /**
     * Returns the response to a request that arrives while the stand-in is unavailable.
     *
     * @param request the request, which has no effect
     * @return the refusal
     */
    default StandInResponse refuse(StandInRequest request) {
        return StandInResponse.error(StandInResponse.UNAVAILABLE, "unavailable");
    }
}
