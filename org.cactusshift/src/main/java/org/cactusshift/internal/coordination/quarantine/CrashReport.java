package org.cactusshift.internal.coordination.quarantine;

import org.cactusshift.id.UpstreamId;

/**
 * A crash of an upstream during an attempt of a suspect, as nodes report it to each other. Times are ages, because the
 * clocks of nodes differ.
 *
 * @param suspect the suspect
 * @param upstream the upstream that crashed
 * @param sentAgeMillis the time since the attempt was sent, in milliseconds
 * @param lostAgeMillis the time since the attempt was lost, in milliseconds
 */
public record CrashReport(CrashSuspect suspect, UpstreamId upstream, long sentAgeMillis, long lostAgeMillis) {}
