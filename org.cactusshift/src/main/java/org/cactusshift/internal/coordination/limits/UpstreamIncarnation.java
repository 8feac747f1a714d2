package org.cactusshift.internal.coordination.limits;

import org.cactusshift.id.UpstreamId;

/**
 * One run of an upstream, from its start to its end; after a restart nothing that it said before holds.
 *
 * @param upstream the upstream
 * @param startedAtEpochMillis when it started, 0 when not published
 */
public record UpstreamIncarnation(UpstreamId upstream, long startedAtEpochMillis) {
    @Override
    public boolean equals(Object other) {
        return other instanceof UpstreamIncarnation that
                && upstream.equals(that.upstream)
                && startedAtEpochMillis == that.startedAtEpochMillis;
    }

    @Override
    public int hashCode() {
        return 31 * upstream.hashCode() + Long.hashCode(startedAtEpochMillis);
    }
}
