/** Failure tests on real processes and sockets, and the tools that they share. */
package org.cactusshift.systemtest;
