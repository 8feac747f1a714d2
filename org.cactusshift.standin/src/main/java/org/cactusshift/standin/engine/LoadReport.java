package org.cactusshift.standin.engine;

import org.cactusshift.config.UpstreamConfig.Role;

/**
 * The load of an engine at one time.
 *
 * @param measuredAtMillis the monotonic time of the measurement, in milliseconds
 * @param role the role
 * @param running the number of requests in the batch
 * @param waiting the number of queued requests
 * @param pendingPrefillTokens the number of unprocessed prompt tokens in the queue and the batch
 * @param usedBlocks the number of KV-cache blocks that running requests hold
 * @param prefillTokensPerSecond the prefill rate in the current role, in tokens per second
 * @param decodeTokensPerSecond the decode rate of one sequence in a batch of the current size, in tokens per second
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
