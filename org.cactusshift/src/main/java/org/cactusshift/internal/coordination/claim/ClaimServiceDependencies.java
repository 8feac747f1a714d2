package org.cactusshift.internal.coordination.claim;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.lease.AuthoritySource;
import org.cactusshift.internal.coordination.lease.DutyDirectory;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.store.KeyValueStore;

/**
 * The collaborators and parameters of a {@link ClaimService}.
 *
 * @param site the site
 * @param self this node; its lease id is ignored
 * @param shardCount the number of claim shards; it is the same on all nodes of the site and never changes
 * @param store the key-value store
 * @param authorities returns the authority of this node over the shards that it holds
 * @param directory returns the holders of the shards
 * @param peers the client for shards that other nodes hold
 * @param clockMillis the monotonic clock
 * @param wallClockMillis the wall clock
 */
public record ClaimServiceDependencies(
        SiteId site,
        DutyHolder self,
        int shardCount,
        KeyValueStore store,
        AuthoritySource authorities,
        DutyDirectory directory,
        ClaimHolderClient peers,
        LongSupplier clockMillis,
        LongSupplier wallClockMillis) {
    /** Rejects missing components. */
    public ClaimServiceDependencies {
        Objects.requireNonNull(site, "site");
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(authorities, "authorities");
        Objects.requireNonNull(directory, "directory");
        Objects.requireNonNull(peers, "peers");
        Objects.requireNonNull(clockMillis, "clockMillis");
        Objects.requireNonNull(wallClockMillis, "wallClockMillis");
        if (shardCount <= 0) {
            throw new IllegalArgumentException("shardCount must be positive, got " + shardCount);
        }
    }
}
