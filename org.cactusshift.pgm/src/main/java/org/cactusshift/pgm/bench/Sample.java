package org.cactusshift.pgm.bench;

/**
 * One measured point.
 *
 * @param size the size at which it was measured
 * @param value the value
 */
public record Sample(double size, double value) {}
