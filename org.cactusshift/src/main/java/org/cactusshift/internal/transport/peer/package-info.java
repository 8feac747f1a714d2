/** Calls between the nodes of a site over gRPC. */
package org.cactusshift.internal.transport.peer;
