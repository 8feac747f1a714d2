package org.cactusshift.internal.coordination.change;

import java.util.Objects;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.internal.coordination.order.OrderContent;

/**
 * A change that is required to bring an engine to its declared state.
 *
 * @param engine the declared engine
 * @param content the content of the order to the engine
 */
public record RequiredChange(UpstreamConfig engine, OrderContent content) {
    /** Rejects missing components. */
    public RequiredChange {
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(content, "content");
    }
}
