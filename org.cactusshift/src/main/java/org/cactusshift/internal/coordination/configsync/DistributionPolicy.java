package org.cactusshift.internal.coordination.configsync;

import java.util.EnumSet;
import java.util.Set;

/**
 * Decides on the next steps of the configuration distribution.
 *
 * <p>The first {@link #RELAYS} live nodes of a failure domain are config relays: they watch the head in the store and
 * read it periodically. The other nodes follow a relay and compare versions at each heartbeat. When the last store
 * contact of a node becomes stale, the node reads the head itself, but only if it is among the first
 * {@link #FALLBACK_READERS} nodes of its failure domain, so that the loss of all relays does not direct every node to
 * the key-value store. A node without a configuration reads the head in any case.
 */
final class DistributionPolicy {
    /** The number of config relays in a failure domain. */
    static final int RELAYS = 2;

    /** The number of nodes of a failure domain that may read the head when their last store contact is stale. */
    static final int FALLBACK_READERS = 8;

    private final DistributionTiming timing;

    private DistributionPolicy(DistributionTiming timing) {
        this.timing = timing;
    }

    static DistributionPolicy of(DistributionTiming timing) {
        return new DistributionPolicy(timing);
    }

    /** A step to start now. */
    enum Step {
        /** Read the head and load the version that it refers to. */
        READ_HEAD,
        /** Open the store watch. */
        OPEN_WATCH,
        /** Close the store watch, as this node is no longer a relay. */
        CLOSE_WATCH,
        /** Follow the relay given in the state instead of the current one. */
        FOLLOW,
        /** Close the stream from a relay, as this node is a relay itself. */
        UNFOLLOW,
        /** Fetch a newer version from peers, or any version when none is installed. */
        FETCH
    }

    /** Returns the steps to start now; the time is monotonic. */
    Set<Step> decide(DistributionState state, long nowMillis) {
        Set<Step> steps = EnumSet.noneOf(Step.class);
        boolean relay = state.rank() < RELAYS;
        if (shouldReadHead(state, relay, nowMillis)) {
            steps.add(Step.READ_HEAD);
        }
        if (relay && !state.watching() && nowMillis - state.lastWatchMillis() >= timing.retryDelayMillis()) {
            steps.add(Step.OPEN_WATCH);
        }
        if (!relay && state.watching()) {
            steps.add(Step.CLOSE_WATCH);
        }
        if (relay && state.followedAddress().isPresent()) {
            steps.add(Step.UNFOLLOW);
        }
        if (shouldFollowRelay(state, relay, nowMillis)) {
            steps.add(Step.FOLLOW);
        }
        if (shouldFetch(state, nowMillis)) {
            steps.add(Step.FETCH);
        }
        return steps;
    }

    private boolean shouldReadHead(DistributionState state, boolean relay, long nowMillis) {
        if (nowMillis - state.lastReadMillis() < timing.headReadPeriodMillis()) {
            return false;
        }
        boolean stale = state.contactAgeMillis() < 0 || state.contactAgeMillis() > timing.staleContactAgeMillis();
        return relay || state.installedVersion() == 0 || (stale && state.rank() < FALLBACK_READERS);
    }

    private boolean shouldFollowRelay(DistributionState state, boolean relay, long nowMillis) {
        return !relay
                && state.relayAddress().isPresent()
                && !state.relayAddress().equals(state.followedAddress())
                && nowMillis - state.lastFollowMillis() >= timing.retryDelayMillis();
    }

    private boolean shouldFetch(DistributionState state, long nowMillis) {
        long sinceFetchMillis = nowMillis - state.lastFetchMillis();
        boolean behind = state.heardVersion() > state.installedVersion();
        boolean notInstalled = state.installedVersion() == 0;
        return (behind && sinceFetchMillis >= timing.decisionPeriodMillis())
                || (notInstalled && sinceFetchMillis >= timing.retryDelayMillis());
    }
}
