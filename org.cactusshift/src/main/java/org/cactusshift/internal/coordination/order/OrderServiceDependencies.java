package org.cactusshift.internal.coordination.order;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.lease.AuthoritySource;
import org.cactusshift.internal.coordination.store.KeyValueStore;

/**
 * The collaborators and parameters of an {@link OrderService}.
 *
 * @param site the site
 * @param timing the delays and intervals of orders
 * @param store the key-value store
 * @param authorities returns the authority of this node over the duties that it holds
 * @param transport sends the orders and reads their progress
 * @param listener is notified when an order has ended and was removed from the durable record
 * @param clockMillis the monotonic clock
 */
public record OrderServiceDependencies(
        SiteId site,
        OrderTiming timing,
        KeyValueStore store,
        AuthoritySource authorities,
        OrderTransport transport,
        OrderListener listener,
        LongSupplier clockMillis) {
    /** Rejects missing components. */
    public OrderServiceDependencies {
        Objects.requireNonNull(site, "site");
        Objects.requireNonNull(timing, "timing");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(authorities, "authorities");
        Objects.requireNonNull(transport, "transport");
        Objects.requireNonNull(listener, "listener");
        Objects.requireNonNull(clockMillis, "clockMillis");
    }
}
