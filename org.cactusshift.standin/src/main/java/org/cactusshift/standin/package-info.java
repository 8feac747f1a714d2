/** Stand-ins for outside systems, which serve on loopback sockets, inject faults and log the requests they receive. */
package org.cactusshift.standin;
