package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Removes the headers that concern one connection only. */
final class HopHeaders {
    private static final List<String> NAMES = List.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private HopHeaders() {}

    /** Returns a copy without such headers, and without those that the connection header names. */
    static HttpHeaders without(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders(false);
        copy.set(headers);
        for (String line : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : line.split(",")) {
                if (!name.isBlank()) {
                    copy.remove(name.trim());
                }
            }
        }
        NAMES.forEach(copy::remove);
        return copy;
    }
}
