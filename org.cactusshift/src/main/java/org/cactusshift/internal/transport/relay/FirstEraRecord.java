package org.cactusshift.internal.transport.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import org.cactusshift.internal.coordination.lease.FencingNumbers;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.StorePosition;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Keeps in the store the era from which on fencing numbers are counted, so that all nodes derive the same numbers. A
 * node that knows the record writes it again when a restored store lacks it. To be used on the event loop only.
 */
final class FirstEraRecord {
    private final String key;
    private final AsyncKeyValueStore store;
    private final SiteStateFollower follower;
    private final EventLog log;
    private OptionalLong firstEra = OptionalLong.empty();
    private boolean writePending;

    /** The version of the follower's node values at the last write, which the values read then do not show yet. */
    private long versionAtWrite = -1;

    private FirstEraRecord(String key, AsyncKeyValueStore store, SiteStateFollower follower, EventLog log) {
        this.key = key;
        this.store = store;
        this.follower = follower;
        this.log = log;
    }

    static FirstEraRecord create(String key, AsyncKeyValueStore store, SiteStateFollower follower, EventLog log) {
        return new FirstEraRecord(key, store, follower, log);
    }

    /** Returns whether the record is known; a duty may be acquired only then. */
    boolean isKnown() {
        return firstEra.isPresent();
    }

    /** Returns the fencing number of a duty whose key was created at a revision of the current era. */
    long fencingNumber(long createRevision) {
        long era = store.era().current();
        return FencingNumbers.of(new StorePosition(era, createRevision), firstEra.orElse(era));
    }

    /** Takes over the record as last read, and writes it again if the store lacks it or shows a later era. */
    void refresh() {
        if (!follower.hasReadCurrentEra()) {
            return;
        }
        VersionedValue stored = follower.nodeValueByKey().get(key);
        OptionalLong storedEra = stored == null ? OptionalLong.empty() : parse(stored.value());
        if (storedEra.isPresent() && storedEra.getAsLong() <= firstEra.orElse(Long.MAX_VALUE)) {
            firstEra = storedEra;
        } else if (firstEra.isPresent()) {
            write(firstEra.getAsLong(), stored == null ? 0 : stored.modRevision());
        }
    }

    /** Writes the current era if there is no record yet. */
    void writeIfAbsent() {
        if (follower.hasReadCurrentEra() && !isKnown()) {
            VersionedValue stored = follower.nodeValueByKey().get(key);
            write(store.era().current(), stored == null ? 0 : stored.modRevision());
        }
    }

    private void write(long era, long expectedRevision) {
        if (writePending || versionAtWrite == follower.nodeValuesVersion()) {
            return;
        }
        writePending = true;
        versionAtWrite = follower.nodeValuesVersion();
        byte[] value = Long.toString(era).getBytes(StandardCharsets.US_ASCII);
        AsyncKeyValueStore.Write write =
                new AsyncKeyValueStore.Write(key, expectedRevision, value, LeaseGrant.NONE, List.of());
        store.compareAndSwap(write, swap -> {
            writePending = false;
            boolean applied = swap.isRight() && swap.get().isApplied();
            if (applied && !isKnown()) {
                firstEra = OptionalLong.of(era);
            }
            // After a conflict or a failure the next read shows what the store holds.
            log.event("duty.firstEraWritten")
                    .with("era", era)
                    .with("applied", applied)
                    .write();
        });
    }

    private static OptionalLong parse(byte[] value) {
        try {
            return OptionalLong.of(Long.parseLong(new String(value, StandardCharsets.US_ASCII)));
        } catch (NumberFormatException e) {
            // A malformed record is written again.
            return OptionalLong.empty();
        }
    }
}
