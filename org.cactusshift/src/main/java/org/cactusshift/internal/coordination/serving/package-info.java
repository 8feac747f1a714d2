/**
 * Decisions about requests that are passed to upstreams unchanged: route, waiting, refusal, placement and repetition.
 *
 * <p>Everything here is driven by one owner, takes the present time as an argument and does no I/O.
 */
package org.cactusshift.internal.coordination.serving;
