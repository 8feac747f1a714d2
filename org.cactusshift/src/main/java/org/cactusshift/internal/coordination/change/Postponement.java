package org.cactusshift.internal.coordination.change;

/**
 * The postponement of a planned change.
 *
 * @param consecutiveFailures the number of consecutive failed tries
 * @param notBeforeMillis the earliest time of the next try, monotonic
 */
public record Postponement(int consecutiveFailures, long notBeforeMillis) {}
