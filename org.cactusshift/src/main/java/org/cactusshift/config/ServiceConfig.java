package org.cactusshift.config;

import java.util.List;
import org.cactusshift.id.ServiceId;

/**
 * The configuration of a service, either a model or a plain service.
 *
 * @param id the service; for a model, the name that callers send
 * @param kind whether the upstreams are model engines or instances of a plain service
 * @param activeVersion the model version that engines must have loaded; empty for a plain service
 * @param openRoute whether requests without a key are accepted
 * @param repeatable whether every request to a plain service may be retried
 * @param repeatablePaths path prefixes whose requests may be retried although the service as a whole is not repeatable
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
