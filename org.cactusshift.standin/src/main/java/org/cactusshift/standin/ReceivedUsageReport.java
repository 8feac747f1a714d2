package org.cactusshift.standin;

/**
 * The first report of a shard for a usage window.
 *
 * @param window the window id in the path
 * @param shard the shard in the body
 * @param body the reported body
 * @param reportCount how often it was received; reports with another body do not count
 */
public record ReceivedUsageReport(String window, String shard, String body, int reportCount) {}
