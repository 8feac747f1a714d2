package org.cactusshift.internal.coordination.order;

import java.util.Objects;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.OrderId;

/**
 * An order to one target. Orders are idempotent: a target recognizes a repeated order by its id.
 *
 * @param id the order id, which is the idempotency key at the platform's ordering interface
 * @param target the id of the engine, or of the failure domain whose upstreams the platform starts or releases
 * @param address the address to which it is sent, as {@code ADDRESS:PORT}
 * @param checksFencing whether the target rejects orders with a stale fencing number
 * @param content the requested action
 */
public record Order(OrderId id, String target, String address, boolean checksFencing, OrderContent content) {
    /** Rejects missing components. */
    public Order {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(content, "content");
    }

    /**
     * Returns an order to an engine.
     *
     * @param id the order id
     * @param engine the declared engine
     * @param content the requested action
     * @return the order
     */
    public static Order toEngine(OrderId id, UpstreamConfig engine, OrderContent content) {
        return new Order(id, engine.id().value(), engine.address(), engine.checksFencing(), content);
    }

    /**
     * Returns an order to the platform, which starts or releases upstreams.
     *
     * @param id the order id
     * @param failureDomain the failure domain
     * @param orderingAddress the address of the platform's ordering interface
     * @param content the requested action
     * @return the order
     */
    public static Order forUpstreams(
            OrderId id, FailureDomainId failureDomain, String orderingAddress, OrderContent content) {
        // The platform is not assumed to reject stale fencing numbers.
        return new Order(id, failureDomain.value(), orderingAddress, false, content);
    }
}
