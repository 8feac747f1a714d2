package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.cactusshift.internal.transport.http.HopByHopHeaders;

/** Removes hop-by-hop headers, which concern one connection only. */
final class HopByHopHeaderFilter {
    private HopByHopHeaderFilter() {}

    /** Returns a copy without hop-by-hop headers and without the headers that {@code Connection} names. */
    static HttpHeaders copyWithoutHopByHopHeaders(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders(false);
        copy.set(headers);
        for (String line : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : line.split(",")) {
                if (!name.isBlank()) {
                    copy.remove(name.trim());
                }
            }
        }
        HopByHopHeaders.NAMES.forEach(copy::remove);
        return copy;
    }
}
