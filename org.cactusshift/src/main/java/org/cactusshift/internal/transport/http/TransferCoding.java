package org.cactusshift.internal.transport.http;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * What the Transfer-Encoding of a message says about the framing of its body (RFC 9112, 6.1 and 6.3). Nodes decode
 * chunks and no other coding.
 */
public enum TransferCoding {
    /** None is stated; the length of the body follows from the other parts of the head. */
    NONE,
    /** The body is sent in chunks. */
    CHUNKED,
    /** The body is sent in chunks, which hold it in a further coding. */
    UNSUPPORTED,
    /** The end of the body can't be known: chunks are not the last coding, are applied twice or precede HTTP/1.1. */
    UNDELIMITED;

    /** No other characters than space and tab are optional white space in a header (RFC 9110, 5.6.3). */
    private static final Pattern OUTER_WHITESPACE = Pattern.compile("^[ \t]+|[ \t]+$");

    private static final String CHUNKED_NAME = "chunked";

    /**
     * Returns the transfer coding of a message.
     *
     * @param values the values of all Transfer-Encoding headers, in their order; each a comma-separated list
     * @param isBeforeHttp11 whether the version of the message is below HTTP/1.1, which has no transfer codings
     * @return the coding
     */
    public static TransferCoding of(List<String> values, boolean isBeforeHttp11) {
        if (values.isEmpty()) {
            return NONE;
        }
        List<String> names = new ArrayList<>();
        for (String value : values) {
            for (String name : value.split(",")) {
                String trimmed = OUTER_WHITESPACE.matcher(name).replaceAll("");
                if (!trimmed.isEmpty()) {
                    names.add(trimmed);
                }
            }
        }
        int chunkedIndex = indexOfChunked(names);
        if (isBeforeHttp11 || chunkedIndex < 0 || chunkedIndex != names.size() - 1) {
            return UNDELIMITED;
        }
        return chunkedIndex == 0 ? CHUNKED : UNSUPPORTED;
    }

    /** Returns the index of the first chunked coding, -1 when there is none. */
    private static int indexOfChunked(List<String> names) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(CHUNKED_NAME)) {
                return i;
            }
        }
        return -1;
    }
}
