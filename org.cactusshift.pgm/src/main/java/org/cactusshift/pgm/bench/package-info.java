/** Measures how the state, messages and CPU time of each role of a node grow with the size of the site. */
package org.cactusshift.pgm.bench;
