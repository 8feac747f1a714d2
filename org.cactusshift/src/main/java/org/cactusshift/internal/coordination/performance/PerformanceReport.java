package org.cactusshift.internal.coordination.performance;

import org.cactusshift.internal.coordination.limits.UpstreamIncarnation;

/**
 * The samples that a node has taken of an upstream since its last message to a peer.
 *
 * @param upstream the upstream
 * @param samples the number of samples
 * @param sumOfLogarithms the sum of the natural logarithms of the relative times
 */
public record PerformanceReport(UpstreamIncarnation upstream, int samples, double sumOfLogarithms) {}
