package org.cactusshift.internal.transport.relay;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Metadata of an upstream's response, parsed from its headers.
 *
 * @param signed whether the response carries a signature, which is not verified here
 * @param notExecuted whether the upstream states that it did not run the request
 * @param misdirected whether the upstream states that the request was addressed to another one; implies {@code
 *     notExecuted}
 * @param load the load that the upstream reports, empty when missing or malformed
 * @param requestsPerSecondLimit the requests per second that the upstream accepts from all nodes together, for
 *     as long as its responses state so; empty when it states no limit
 * @param rest for how long the upstream, which refused the request, asks this node to send it nothing
 * @param leaving whether the upstream states that it leaves
 * @param idleTimeoutMillis how long the upstream keeps an idle connection open, empty when not stated
 */
public record ResponseMetadata(
        boolean signed,
        boolean notExecuted,
        boolean misdirected,
        Optional<ReportedLoad> load,
        OptionalDouble requestsPerSecondLimit,
        RequestedRest rest,
        boolean leaving,
        OptionalLong idleTimeoutMillis) {
    /**
     * The time for which an upstream asks to be sent nothing.
     *
     * @param millis the time in milliseconds, 0 when it asks for none
     * @param malformed the value that it stated but that is no time, empty when there is none
     */
    public record RequestedRest(long millis, Optional<String> malformed) {
        /** No rest is asked for. */
        public static final RequestedRest NONE = new RequestedRest(0, Optional.empty());
    }

    /**
     * The load that an upstream reports.
     *
     * @param running running requests
     * @param waiting queued requests
     * @param slots the maximum number of running requests
     * @param workTimePercent how long work takes there at this moment, in percent of the usual time; empty when missing
     *     or malformed
     */
    public record ReportedLoad(int running, int waiting, int slots, OptionalInt workTimePercent) {}
}
