package org.cactusshift.internal.transport.relay;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an upstream says in the head of its answer.
 *
 * @param requestId the request that is answered, empty when not told
 * @param signed whether the answer carries the upstream's signature
 * @param notExecuted whether the upstream says that it did not run the request
 * @param misdirected whether it says that another upstream was meant
 * @param load the load that it tells
 * @param idleTimeoutMillis how long it keeps an idle connection, when told
 */
public record ResponseMetadata(
        Optional<String> requestId,
        boolean signed,
        boolean notExecuted,
        boolean misdirected,
        Optional<ReportedLoad> load,
        OptionalLong idleTimeoutMillis) {
    /**
     * The load of an upstream.
     *
     * @param running requests that run
     * @param waiting requests that wait
     * @param slots requests that can run at once
     */
    public record ReportedLoad(int running, int waiting, int slots) {}
}
