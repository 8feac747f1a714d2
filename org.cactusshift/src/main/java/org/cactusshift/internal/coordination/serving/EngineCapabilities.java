package org.cactusshift.internal.coordination.serving;

/**
 * What the model engines of a service can do.
 *
 * @param slots the most requests in a batch
 * @param kvCapacityTokens tokens that fit into an engine's memory
 * @param kvTokenBytes bytes of memory of a token
 * @param linkMegabitsPerSecond the speed of transfers between engines
 * @param kvRetentionMillis how long the memory of a prompt that was read for another engine is kept
 * @param roleSwitchMillis how long a change of stage takes an engine out of service
 * @param supportsKvBackup whether a run's memory can be copied to another engine as it grows
 */
public record EngineCapabilities(
        int slots,
        long kvCapacityTokens,
        long kvTokenBytes,
        double linkMegabitsPerSecond,
        long kvRetentionMillis,
        long roleSwitchMillis,
        boolean supportsKvBackup) {}
