package org.cactusshift.standin;

/**
 * A usage window as it was first reported.
 *
 * @param window the window id in the path
 * @param shard the shard in the body
 * @param body the reported body
 * @param reportCount the number of reports with this body
 */
public record UsageWindow(String window, String shard, String body, int reportCount) {}
