/** Transport layer: HTTP and gRPC connections. */
package org.cactusshift.internal.transport;
