package org.cactusshift.standin.engine;

import org.cactusshift.config.UpstreamConfig.Role;

/**
 * The load of an engine at one time.
 *
 * @param measuredAtMillis the monotonic time of the measurement, in milliseconds
 * @param role the role
 * @param running the number of requests in the batch
 * @param waiting the number of queued requests
 * @param pendingPrefillTokens the number of prompt tokens that are not yet processed
 * @param usedBlocks the KV-cache blocks that requests hold
 * @param prefillTokensPerSecond the prefill rate
 * @param decodeTokensPerSecond the decode rate of one sequence
 * @param version the loaded model version
 * @param outOfService whether an order has taken the engine out of service
 */
record LoadReport(
        long measuredAtMillis,
        Role role,
        int running,
        int waiting,
        long pendingPrefillTokens,
        int usedBlocks,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        String version,
        boolean outOfService) {}
