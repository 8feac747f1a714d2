package org.cactusshift.internal.coordination.change;

/**
 * A change that was put off.
 *
 * @param consecutiveFailures how often in a row it was tried in vain
 * @param notBeforeMillis when it may be tried again, monotonic
 */
public record Postponement(int consecutiveFailures, long notBeforeMillis) {}
