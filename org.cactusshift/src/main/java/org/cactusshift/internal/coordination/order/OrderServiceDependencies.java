package org.cactusshift.internal.coordination.order;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.lease.AuthoritySource;
import org.cactusshift.internal.coordination.store.KeyValueStore;

/**
 * What an {@link OrderService} works with.
 *
 * @param site the site
 * @param timing the periods
 * @param store the key-value service
 * @param authorities tells which duties this node holds
 * @param transport sends the orders
 * @param listener hears how orders ended
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
    /** Checks that no part is missing. */
    public OrderServiceDependencies {
        Objects.requireNonNull(site, "site");
        Objects.requireNonNull(timing, "timing");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(authorities, "authorities");
        Objects.requireNonNull(transport, "target");
        Objects.requireNonNull(listener, "listener");
        Objects.requireNonNull(clockMillis, "clockMillis");
    }
}
