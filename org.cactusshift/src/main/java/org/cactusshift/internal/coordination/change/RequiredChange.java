package org.cactusshift.internal.coordination.change;

import java.util.Objects;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.internal.coordination.order.OrderContent;

/**
 * A change that the configuration asks for.
 *
 * @param engine the engine as declared
 * @param content what the engine is to be ordered
 */
public record RequiredChange(UpstreamConfig engine, OrderContent content) {
    /** Checks that no part is missing. */
    public RequiredChange {
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(content, "content");
    }
}
