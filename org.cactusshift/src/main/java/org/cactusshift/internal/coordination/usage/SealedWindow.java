package org.cactusshift.internal.coordination.usage;

/**
 * A usage window whose figures can't change any more.
 *
 * @param window the window's name, unique over sites, shards and time
 * @param report the bytes that are reported, as JSON text
 */
public record SealedWindow(String window, String report) {}
