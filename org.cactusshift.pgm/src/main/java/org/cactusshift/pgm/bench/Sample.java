package org.cactusshift.pgm.bench;

/**
 * A measured value at one size.
 *
 * @param size the size at which the value was measured
 * @param value the measured value
 */
public record Sample(double size, double value) {}
