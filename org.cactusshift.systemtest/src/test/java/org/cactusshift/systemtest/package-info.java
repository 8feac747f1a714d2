/** Fault-injection tests over real sockets, most with real node processes, and their fixtures. */
package org.cactusshift.systemtest;
