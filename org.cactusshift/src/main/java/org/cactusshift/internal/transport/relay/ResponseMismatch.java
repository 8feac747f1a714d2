package org.cactusshift.internal.transport.relay;

/**
 * A response that answers no request of its connection.
 *
 * @param kind what is wrong
 * @param address the remote address, as {@code ADDRESS:PORT}
 * @param request the id of the request that waits or was the last one, {@code "-"} when it has none
 * @param status the status of the response, 0 when its head was not read
 * @param exchangeAgeMillis the time since that request was sent, in milliseconds
 * @param connectionAgeMillis the time since the connection was opened, in milliseconds
 * @param first whether it is the first one of its connection
 */
public record ResponseMismatch(
        Kind kind,
        String address,
        String request,
        int status,
        long exchangeAgeMillis,
        long connectionAgeMillis,
        boolean first) {
    /** What is wrong with a response. */
    public enum Kind {
        /** It names another request. */
        OTHER_REQUEST,
        /** It names no request. */
        NO_REQUEST,
        /** It names several requests. */
        SEVERAL_REQUESTS,
        /** It goes on after the beginning of another response. */
        SPLICED,
        /** No request waits on the connection. */
        UNSOLICITED;

        static Kind of(ResponseProof.Result result) {
            return switch (result) {
                case OTHER_REQUEST -> OTHER_REQUEST;
                case NO_REQUEST -> NO_REQUEST;
                case SEVERAL_REQUESTS -> SEVERAL_REQUESTS;
                case MATCH -> throw new IllegalArgumentException("a response that matches");
            };
        }
    }

    /** Receives mismatches, on the event loop. */
    public interface Listener {
        /**
         * Called with each mismatch.
         *
         * @param mismatch the mismatch
         */
        void onMismatch(ResponseMismatch mismatch);
    }
}
