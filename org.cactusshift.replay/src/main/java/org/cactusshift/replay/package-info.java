/**
 * Replays traces in virtual time, with the dispatch and planning classes that nodes run and with simulated upstreams.
 */
package org.cactusshift.replay;
