/**
 * Replay of recorded traces in virtual time through the classes that nodes run, against small fakes of the upstreams.
 */
package org.cactusshift.replay;
