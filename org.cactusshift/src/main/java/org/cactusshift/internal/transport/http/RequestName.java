package org.cactusshift.internal.transport.http;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpMessage;

/**
 * The id by which servers name the request that a response answers.
 *
 * @param id the id; empty when the request has none
 */
record RequestName(Optional<String> id) {
    private static final String HEADER = "x-request-id";

    /** How a response relates to a request. */
    enum Match {
        /** It names the request, or the request has no id. */
        SAME,
        /** It names another request or several. */
        OTHER,
        /** It names no request. */
        UNNAMED
    }

    static RequestName of(ClassicHttpRequest request) {
        return new RequestName(valuesOf(request).stream().findFirst());
    }

    boolean isPresent() {
        return id.isPresent();
    }

    Match match(HttpMessage response) {
        if (id.isEmpty()) {
            return Match.SAME;
        }
        List<String> named = valuesOf(response);
        if (named.isEmpty()) {
            return Match.UNNAMED;
        }
        return named.stream().allMatch(id.get()::equals) ? Match.SAME : Match.OTHER;
    }

    private static List<String> valuesOf(HttpMessage message) {
        return Arrays.stream(message.getHeaders(HEADER)).map(Header::getValue).toList();
    }

    @Override
    public String toString() {
        return id.orElse("-");
    }
}
