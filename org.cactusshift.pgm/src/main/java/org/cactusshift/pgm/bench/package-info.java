/** Measures how the state, messages and processor time of each role grow, and prints the slopes. */
package org.cactusshift.pgm.bench;
