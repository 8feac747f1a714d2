package org.cactusshift.internal.coordination.quarantine;

/**
 * A fingerprint that was on upstreams as they crashed.
 *
 * @param fingerprint the fingerprint
 * @param crashes crashes that this node saw, without those that other nodes told of
 * @param ageMillis the time since the last of them
 */
public record SuspectReport(long fingerprint, int crashes, long ageMillis) {}
