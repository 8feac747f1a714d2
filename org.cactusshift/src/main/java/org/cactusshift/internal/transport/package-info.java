/** Transport layer: HTTP and gRPC servers and clients. */
package org.cactusshift.internal.transport;
