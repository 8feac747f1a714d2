package org.cactusshift.internal.coordination.quarantine;

/**
 * Evidence that a suspect crashes no upstreams, as nodes report it to each other: an attempt that was completed.
 *
 * @param suspect the suspect
 * @param sentAgeMillis the time since the attempt was sent, in milliseconds
 */
public record CompletionReport(CrashSuspect suspect, long sentAgeMillis) {}
