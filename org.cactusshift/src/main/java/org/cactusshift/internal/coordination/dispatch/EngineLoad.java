package org.cactusshift.internal.coordination.dispatch;

import org.cactusshift.config.UpstreamConfig;

/**
 * A load report of an upstream, lagging behind the truth.
 *
 * @param measuredAtMillis when the upstream measured it, on the receiver's clock as well as that is known
 * @param running requests in the batch
 * @param waiting requests not yet started
 * @param queuedPrefillTokens prompt tokens not yet processed
 * @param usedBlocks KV cache pieces in use
 * @param totalBlocks KV cache pieces in all
 * @param prefillTokensPerSecond the measured rate of prompt processing; 0 when unknown
 * @param decodeTokensPerSecond the measured rate of one sequence; 0 when unknown
 * @param role the role the engine is in
 * @param changing whether the engine is out of service for a change
 * @param epoch the upstream's start number; a new one means that it restarted
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
