/** Estimates how long work takes at each upstream, relative to the other upstreams of its service. */
package org.cactusshift.internal.coordination.performance;
