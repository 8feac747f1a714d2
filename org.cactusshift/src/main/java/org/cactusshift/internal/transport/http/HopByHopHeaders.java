package org.cactusshift.internal.transport.http;

import java.util.Set;

/** The headers that concern one connection only and are never passed on. */
public final class HopByHopHeaders {
    /** The names, in lower case. */
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
