package org.cactusshift.internal.coordination.usage;

/**
 * A sealed usage window, whose counts can no longer change.
 *
 * @param window the window's name, {@code SITE.SHARD.FROM_EPOCH_MILLIS}, unique across sites, shards and time
 * @param report the report of the window, as JSON text
 */
public record SealedWindow(String window, String report) {}
