package org.cactusshift.internal.coordination.quarantine;

/**
 * A fingerprint whose requests were on an upstream when it crashed.
 *
 * @param fingerprint the fingerprint
 * @param crashes the crashes that this node observed, without those reported by other nodes
 * @param ageMillis the time since the last of these crashes
 */
public record SuspectReport(long fingerprint, int crashes, long ageMillis) {}
