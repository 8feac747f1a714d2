package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A whole answer of an upstream, without the headers that concern its connection.
 *
 * @param status the status
 * @param headers the headers
 * @param content the body
 */
record BufferedResponse(HttpResponseStatus status, HttpHeaders headers, byte[] content) {}
