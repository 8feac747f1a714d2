package org.cactusshift.internal.coordination.quarantine;

/**
 * The upstream crashes that a node observed while requests with a fingerprint were open there.
 *
 * @param fingerprint the fingerprint
 * @param crashes the crashes that this node observed, without those reported by other nodes
 * @param ageMillis the time since the last of these crashes
 */
public record CrashSuspectReport(long fingerprint, int crashes, long ageMillis) {}
