/** Measures how the state, messages and CPU time of each role grow, and prints the slopes. */
package org.cactusshift.pgm.bench;
