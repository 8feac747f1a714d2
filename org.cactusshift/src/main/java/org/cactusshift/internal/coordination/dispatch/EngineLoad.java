package org.cactusshift.internal.coordination.dispatch;

import org.cactusshift.config.UpstreamConfig;

/**
 * A load report of an upstream. Reports lag behind the actual load.
 *
 * @param measuredAtMillis when the upstream measured it, estimated on the receiver's clock
 * @param running requests in the running batch
 * @param waiting requests that wait for the running batch
 * @param queuedPrefillTokens prompt tokens that are not yet processed
 * @param usedBlocks KV-cache blocks in use
 * @param totalBlocks total number of KV-cache blocks
 * @param prefillTokensPerSecond the measured prefill rate; 0 when unknown
 * @param decodeTokensPerSecond the measured decode rate of one sequence; 0 when unknown
 * @param role the current role of the engine
 * @param changing whether the engine reports that it is out of service for a change
 * @param epoch identifies the incarnation of the upstream; a new value means that it restarted
 */
public record EngineLoad(
        long measuredAtMillis,
        int running,
        int waiting,
        long queuedPrefillTokens,
        int usedBlocks,
        int totalBlocks,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        UpstreamConfig.Role role,
        boolean changing,
        long epoch) {}
