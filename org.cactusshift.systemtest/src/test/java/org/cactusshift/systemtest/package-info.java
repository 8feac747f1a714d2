/** Fault tests that run real node processes and sockets, and their shared test fixtures. */
package org.cactusshift.systemtest;
