package org.cactusshift.internal.coordination.claim;

import java.util.concurrent.CompletableFuture;

/**
 * A log entry that is not yet durable.
 *
 * @param entry the entry
 * @param response completed when the entry is durable, refused or withdrawn, or when this node lost the shard; an entry
 *     that was withdrawn or whose shard was lost may be in the log all the same
 */
record PendingEntry(ClaimLogEntry entry, CompletableFuture<HolderResponse> response) {
    static PendingEntry of(ClaimLogEntry entry) {
        return new PendingEntry(entry, new CompletableFuture<>());
    }

    ClaimKey key() {
        return new ClaimKey(entry.key());
    }

    boolean isClaim() {
        return entry.kind() == ClaimLogEntry.Kind.CLAIM;
    }
}
