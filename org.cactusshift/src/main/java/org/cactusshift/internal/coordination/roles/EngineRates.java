package org.cactusshift.internal.coordination.roles;

/**
 * The processing rates of one engine of a model, and the duration of its role changes.
 *
 * @param prefillTokensPerSecond the prompt tokens per second when it only prefills
 * @param decodeTokensPerSecond the output tokens per second of a full batch when it only decodes
 * @param roleChangeMillis how long the engine is out of service for a role change
 */
public record EngineRates(double prefillTokensPerSecond, double decodeTokensPerSecond, long roleChangeMillis) {}
