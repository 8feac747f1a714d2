package org.cactusshift.standin;

import java.io.IOException;

/** Handles the requests of one stand-in. */
public interface StandInHandler {
    /**
     * Lets a request take effect.
     *
     * @param request the request
     * @return the answer, not yet sent
     * @throws IOException to break the connection without an answer
     */
    StandInResponse handle(StandInRequest request) throws IOException;

    /**
     * Returns the answer while the stand-in is unavailable.
     *
     * @param request the request, which takes no effect
     * @return the refusal
     */
    default StandInResponse refuse(StandInRequest request) {
        return StandInResponse.error(StandInResponse.UNAVAILABLE, "unavailable");
    }
}
