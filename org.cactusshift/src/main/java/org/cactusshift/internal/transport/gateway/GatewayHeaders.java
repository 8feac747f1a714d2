package org.cactusshift.internal.transport.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.cactusshift.internal.transport.http.ConnectionOptions;
import org.cactusshift.internal.transport.http.HopByHopHeaders;

/** The names of HTTP headers, and the rule that decides which headers the gateway forwards. */
final class GatewayHeaders {
    /** Tells the caller of a failed request whether it may have run: {@code unknown} or {@code not-run}. */
    static final String OUTCOME = "x-cactusshift-outcome";

    /** Sets the timeout of a request, sent by its caller. */
    static final String TIMEOUT_MILLIS = "x-cactusshift-timeout-ms";

    /** Carries the id of the attempt to and from upstreams, and the id of the request to the caller. */
    static final String REQUEST_ID = "x-request-id";

    static final String TRACEPARENT = "traceparent";

    /** Sent by a caller to have a non-repeatable call claimed. */
    static final String IDEMPOTENCY_KEY = "idempotency-key";

    /** Marks a response of an upstream with status 503 to a call that it did not run. */
    static final String NOT_RUN = "x-not-run";

    private static final String OWN_PREFIX = "x-cactusshift-";

    /** Headers that the HTTP library writes for each message. */
    private static final Set<String> WRITTEN_BY_HTTP_LIBRARY = Set.of("content-length", "expect", "host");

    /** Headers in which callers send keys, including those that the gateway doesn't read. */
    private static final Set<String> CREDENTIALS = Set.of("authorization", "api-key", "x-api-key", "x-auth-token");

    /** Headers that the gateway sets to its own values. */
    private static final Set<String> SET_BY_GATEWAY = Set.of(REQUEST_ID, TRACEPARENT);

    private GatewayHeaders() {}

    /** Returns the headers of a caller's request that are forwarded to an upstream. */
    static List<Header> forUpstream(HttpMessage message) {
        return select(message, true);
    }

    /** Returns the headers of an upstream's response that are forwarded to the caller. */
    static List<Header> forCaller(HttpMessage message) {
        return select(message, false);
    }

    private static List<Header> select(HttpMessage message, boolean dropCredentials) {
        Set<String> connectionOptions = connectionOptions(message);
        List<Header> selected = new ArrayList<>();
        for (Header header : message.getHeaders()) {
            String name = header.getName().toLowerCase(Locale.ROOT);
            boolean isForwarded = !HopByHopHeaders.NAMES.contains(name)
                    && !WRITTEN_BY_HTTP_LIBRARY.contains(name)
                    && !connectionOptions.contains(name)
                    && !SET_BY_GATEWAY.contains(name)
                    && !name.startsWith(OWN_PREFIX)
                    && !(dropCredentials && CREDENTIALS.contains(name));
            if (isForwarded) {
                selected.add(header);
            }
        }
        return selected;
    }

    private static Set<String> connectionOptions(HttpMessage message) {
        List<String> values = new ArrayList<>();
        for (Header header : message.getHeaders(HttpHeaders.CONNECTION)) {
            values.add(header.getValue() == null ? "" : header.getValue());
        }
        return ConnectionOptions.removableHeaders(values, Set.of());
    }
}
