package org.cactusshift.internal.coordination.claim;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.lease.AuthoritySource;
import org.cactusshift.internal.coordination.lease.DutyDirectory;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.store.KeyValueStore;

/**
 * What a {@link ClaimService} works with.
 *
 * @param site the site
 * @param self this node; its lease id is ignored
 * @param shardCount the number of claim shards, the same on all nodes of the site and for good
 * @param store the key-value service
 * @param authorities tells which shards this node owns
 * @param directory tells who owns the other shards
 * @param peers calls the owners of other shards
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
        ClaimOwnerClient peers,
        LongSupplier clockMillis,
        LongSupplier wallClockMillis) {
    /** Checks that no part is missing. */
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
            throw new IllegalArgumentException("shardCount is not positive: " + shardCount);
        }
    }
}
