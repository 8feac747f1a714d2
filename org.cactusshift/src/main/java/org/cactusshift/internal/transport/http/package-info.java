/** HTTP/1.1 on HttpCore: the listener for callers and the connection pool towards upstreams. */
package org.cactusshift.internal.transport.http;
