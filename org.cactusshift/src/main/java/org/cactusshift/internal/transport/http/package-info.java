/**
 * HTTP/1.1 on Apache HttpCore: the listener that accepts requests from callers and the connection pool for upstreams.
 */
package org.cactusshift.internal.transport.http;
