/**
 * Decision logic of the relay, which forwards HTTP requests to upstreams unchanged: route lookup, placement, admission,
 * retries, usage counts and fleet planning. The gateway uses the packages {@code dispatch} and {@code routing} instead.
 *
 * <p>A site is the set of nodes that share one key-value store and one configuration. The platform is the environment
 * that hosts the site: it operates the store and provides the upstreams.
 *
 * <p>Each object has a single owner that makes all calls to it, takes the current time as an argument and does no I/O.
 * {@code nowMillis} is monotonic time and {@code epochMillis} wall-clock time, both in milliseconds.
 */
package org.cactusshift.internal.coordination.serving;
