package org.cactusshift.internal.transport.http;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * The headers that {@code Connection} takes out of a message on its way. A sender must not name one that is meant for
 * the final recipient (RFC 9110, 7.6.1); where it does, the header stays.
 */
public final class ConnectionOptions {
    /** The headers of HTTP that say where a message goes and what its content is, in lower case. */
    private static final Set<String> END_TO_END = Set.of(
            "host",
            "cache-control",
            "content-encoding",
            "content-language",
            "content-length",
            "content-location",
            "content-range",
            "content-type");

    private ConnectionOptions() {}

    /**
     * Returns the headers that concern one connection only because {@code Connection} names them.
     *
     * @param values the values of all Connection headers; each a comma-separated list
     * @param endToEndNames the headers of the protocol that no sender may take out, in lower case
     * @return the names, in lower case; without those of HTTP that are meant for the final recipient
     */
    public static Set<String> removableHeaders(List<String> values, Set<String> endToEndNames) {
        Set<String> names = new HashSet<>();
        for (String value : values) {
            for (String option : value.split(",")) {
                String name = option.trim().toLowerCase(Locale.ROOT);
                if (!name.isEmpty() && !END_TO_END.contains(name) && !endToEndNames.contains(name)) {
                    names.add(name);
                }
            }
        }
        return names;
    }
}
