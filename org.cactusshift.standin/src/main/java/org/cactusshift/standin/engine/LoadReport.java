package org.cactusshift.standin.engine;

import org.cactusshift.config.UpstreamConfig.Role;

/**
 * What an engine measured at one moment.
 *
 * @param measuredAtMillis when, in milliseconds
 * @param role the role
 * @param running the requests in the batch
 * @param waiting the requests not yet started
 * @param pendingPrefillTokens the prompt tokens not yet processed
 * @param usedBlocks the pieces of memory that requests hold
 * @param prefillTokensPerSecond the rate of prompt processing
 * @param decodeTokensPerSecond the rate of one sequence
 * @param version the version loaded
 * @param outOfService whether an order has it out of service
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
