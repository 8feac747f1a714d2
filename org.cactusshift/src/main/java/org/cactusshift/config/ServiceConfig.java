package org.cactusshift.config;

import java.util.List;
import org.cactusshift.id.ServiceId;

/**
 * A model or a plain service.
 *
 * @param id the service; for a model, the name that callers give
 * @param kind whether upstreams are model engines or plain instances
 * @param activeVersion the version that engines should have loaded; empty for a plain service
 * @param openRoute whether requests without a key are accepted
 * @param repeatable whether every call of a plain service may be repeated
 * @param repeatablePaths path prefixes whose calls may be repeated although the service as a whole is not
 */
public record ServiceConfig(
        ServiceId id,
        Kind kind,
        String activeVersion,
        boolean openRoute,
        boolean repeatable,
        List<String> repeatablePaths) {
    /** The kind of a service. */
    public enum Kind {
        /** A language model, served by engines with the OpenAI interface. */
        MODEL,
        /** A plain HTTP service. */
        PLAIN
    }

    /** Copies the lists. */
    public ServiceConfig {
        repeatablePaths = List.copyOf(repeatablePaths);
    }
}
