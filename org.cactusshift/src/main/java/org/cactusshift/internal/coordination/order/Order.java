package org.cactusshift.internal.coordination.order;

import java.util.Objects;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.OrderId;

/**
 * An order to one target. Sending the same order again is harmless, because the target knows it by its id.
 *
 * @param id the order; the idempotency token at the ordering interface
 * @param target the engine, or the failure domain in which upstreams are ordered
 * @param address where it is sent, as {@code ADDRESS:PORT}
 * @param checksFencing whether the target rejects orders with an old fencing number
 * @param content what is asked for
 */
public record Order(OrderId id, String target, String address, boolean checksFencing, OrderContent content) {
    /** Checks that no part is missing. */
    public Order {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(content, "content");
    }

    /**
     * Returns an order to an engine.
     *
     * @param id the order
     * @param engine the engine as declared
     * @param content what is asked for
     * @return the order
     */
    public static Order toEngine(OrderId id, UpstreamConfig engine, OrderContent content) {
        return new Order(id, engine.id().value(), engine.address(), engine.checksFencing(), content);
    }

    /**
     * Returns an order for upstreams.
     *
     * @param id the order
     * @param failureDomain the failure domain
     * @param orderingAddress the ordering interface
     * @param content what is asked for
     * @return the order
     */
    public static Order forUpstreams(
            OrderId id, FailureDomainId failureDomain, String orderingAddress, OrderContent content) {
        return new Order(id, failureDomain.value(), orderingAddress, false, content);
    }
}
