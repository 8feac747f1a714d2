package org.cactusshift.standin;

/**
 * One usage window as first reported.
 *
 * @param window the window of the path
 * @param shard the shard in the body
 * @param body the bytes reported, as text
 * @param reportCount how often the same bytes arrived
 */
public record UsageWindow(String window, String shard, String body, int reportCount) {}
