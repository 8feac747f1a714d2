/** Stand-ins for the outside systems on real loopback sockets, with fault switches and logs for checkers. */
package org.cactusshift.standin;
