package org.cactusshift.internal.coordination.roles;

/**
 * The token demand of a model.
 *
 * @param promptTokensPerSecond the arriving prompt tokens per second
 * @param outputTokensPerSecond the expected output tokens of the arriving requests, per second
 */
public record TokenDemand(double promptTokensPerSecond, double outputTokensPerSecond) {}
