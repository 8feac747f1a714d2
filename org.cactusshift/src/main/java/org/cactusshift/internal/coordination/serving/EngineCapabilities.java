package org.cactusshift.internal.coordination.serving;

/**
 * The capabilities of the model engines of a service.
 *
 * @param slots the maximum number of requests that an engine runs concurrently
 * @param kvCapacityTokens the capacity of an engine's KV cache, in tokens
 * @param kvTokenBytes the KV-cache bytes of one token
 * @param linkMegabitsPerSecond the bandwidth of KV-cache transfers between engines
 * @param kvRetentionMillis how long a prefill engine retains the KV cache of a prompt that it prefilled for another
 *     engine
 * @param roleSwitchMillis how long an engine is out of service for a change of stage
 * @param supportsKvBackup whether the KV cache of a running request can be copied to another engine incrementally,
 *     while it grows
 */
public record EngineCapabilities(
        int slots,
        long kvCapacityTokens,
        long kvTokenBytes,
        double linkMegabitsPerSecond,
        long kvRetentionMillis,
        long roleSwitchMillis,
        boolean supportsKvBackup) {}
