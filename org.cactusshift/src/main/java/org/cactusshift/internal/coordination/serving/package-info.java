/**
 * Decision logic for requests that are relayed to upstreams unchanged: routing, queueing, refusal, placement and
 * retries.
 *
 * <p>Each object has a single owner that makes all calls to it, takes the current time as an argument and does no I/O.
 */
package org.cactusshift.internal.coordination.serving;
