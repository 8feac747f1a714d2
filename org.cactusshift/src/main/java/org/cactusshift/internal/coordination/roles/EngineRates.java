package org.cactusshift.internal.coordination.roles;

/**
 * What one engine of a model can do.
 *
 * @param prefillTokensPerSecond prompt tokens a second when it does nothing else
 * @param decodeTokensPerSecond output tokens a second of a full batch when it does nothing else
 * @param changeMillis the time that a role change takes the engine out of service
 */
public record EngineRates(double prefillTokensPerSecond, double decodeTokensPerSecond, long changeMillis) {}
