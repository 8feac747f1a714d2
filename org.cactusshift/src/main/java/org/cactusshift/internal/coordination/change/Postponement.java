package org.cactusshift.internal.coordination.change;

/**
 * The postponement of a planned change.
 *
 * @param consecutiveFailures the number of consecutive failed attempts
 * @param notBeforeMillis the earliest time of the next attempt, monotonic
 */
public record Postponement(int consecutiveFailures, long notBeforeMillis) {}
