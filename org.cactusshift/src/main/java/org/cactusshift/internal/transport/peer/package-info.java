/** gRPC server and client for calls between the nodes of a site. */
package org.cactusshift.internal.transport.peer;
