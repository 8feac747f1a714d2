package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A complete, buffered response of an upstream, without hop-by-hop headers and the content length.
 *
 * @param status the status
 * @param headers the headers
 * @param content the body
 */
record BufferedResponse(HttpResponseStatus status, HttpHeaders headers, byte[] content) {}
