/** Which upstream a request goes to, from a lagging view of the fleet; without clock, thread or I/O. */
package org.cactusshift.internal.coordination.routing;
