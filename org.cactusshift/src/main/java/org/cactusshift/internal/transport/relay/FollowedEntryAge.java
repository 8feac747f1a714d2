package org.cactusshift.internal.transport.relay;

/** How recent the entries of upstreams are that a follower has read from the store. */
record FollowedEntryAge(SiteStateFollower follower, RelayClock clock) implements RelayContext.EntryAge {
    @Override
    public boolean isCurrent() {
        return follower.isCurrent(clock.monotonicMillis(), clock.epochMillis());
    }

    @Override
    public long readSinceMillis() {
        return follower.readSinceMillis();
    }
}
