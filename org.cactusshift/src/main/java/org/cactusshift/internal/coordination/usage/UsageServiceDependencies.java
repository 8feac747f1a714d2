package org.cactusshift.internal.coordination.usage;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.lease.AuthoritySource;
import org.cactusshift.internal.coordination.lease.DutyDirectory;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.store.KeyValueStore;

/**
 * The dependencies and settings of a {@link UsageService}.
 *
 * @param site the site
 * @param self this node; its lease id is ignored
 * @param shards the shards of the client accounts
 * @param windowMillis the length of a usage window
 * @param handOverMillis the period at which counts are handed over and stored
 * @param store the key-value store
 * @param authorities the source of the authority for the shards that this node holds
 * @param directory the directory of the holders of the other shards
 * @param batchSender the sender of usage batches to other nodes
 * @param reporter the sender of sealed windows
 * @param clockMillis the monotonic clock
 * @param wallClockMillis the wall clock
 */
public record UsageServiceDependencies(
        SiteId site,
        DutyHolder self,
        UsageShards shards,
        long windowMillis,
        long handOverMillis,
        KeyValueStore store,
        AuthoritySource authorities,
        DutyDirectory directory,
        UsageBatchSender batchSender,
        UsageReporter reporter,
        LongSupplier clockMillis,
        LongSupplier wallClockMillis) {
    private static final int GRACE_HAND_OVERS = 3;

    /** Checks that no component is null. */
    public UsageServiceDependencies {
        Objects.requireNonNull(site, "site");
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(shards, "shards");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(authorities, "authorities");
        Objects.requireNonNull(directory, "directory");
        Objects.requireNonNull(batchSender, "batchSender");
        Objects.requireNonNull(reporter, "reporter");
        Objects.requireNonNull(clockMillis, "clockMillis");
        Objects.requireNonNull(wallClockMillis, "wallClockMillis");
    }

    /**
     * Returns how long a window accepts counts after its end: the longest time that a regular hand-over takes.
     *
     * @return the grace period in milliseconds
     */
    public long graceMillis() {
        return GRACE_HAND_OVERS * handOverMillis;
    }
}
