package org.cactusshift.internal.coordination.roles;

/**
 * What arrives at a model.
 *
 * @param promptTokensPerSecond prompt tokens a second
 * @param outputTokensPerSecond expected output tokens a second
 */
public record TokenDemand(double promptTokensPerSecond, double outputTokensPerSecond) {}
