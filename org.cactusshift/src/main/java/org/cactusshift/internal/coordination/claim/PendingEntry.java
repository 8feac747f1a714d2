package org.cactusshift.internal.coordination.claim;

import java.util.concurrent.CompletableFuture;

/**
 * A line that waits to become durable.
 *
 * @param entry the line
 * @param response completed when it is durable or certainly never will be
 */
record PendingEntry(ClaimLogEntry entry, CompletableFuture<OwnerResponse> response) {
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
