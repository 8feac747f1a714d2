package org.cactusshift.internal.transport.http;

import java.util.Set;

/** The hop-by-hop headers, which apply to a single connection and are never forwarded. */
public final class HopByHopHeaders {
    /** The header names, in lower case. */
    public static final Set<String> NAMES = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private HopByHopHeaders() {}
}
