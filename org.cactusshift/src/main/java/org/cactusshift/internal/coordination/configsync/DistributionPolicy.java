package org.cactusshift.internal.coordination.configsync;

import java.util.EnumSet;
import java.util.Set;

/**
 * Decides on the next steps of the distribution.
 *
 * <p>The first {@link #RELAYS} live nodes of a failure domain hold the store watch and read the head regularly; the
 * others follow a relay and compare versions at each heartbeat. A node whose view grows old reads the head itself, but
 * only the first {@link #FALLBACK_READERS} of a failure domain do, so that the loss of all relays does not turn every
 * node onto the key-value service.
 */
final class DistributionPolicy {
    /** The number of nodes of a failure domain that hold the store watch. */
    static final int RELAYS = 2;

    /** The number of nodes of a failure domain that may read the head when their view grows old. */
    static final int FALLBACK_READERS = 8;

    private final DistributionTiming timing;

    private DistributionPolicy(DistributionTiming timing) {
        this.timing = timing;
    }

    static DistributionPolicy of(DistributionTiming timing) {
        return new DistributionPolicy(timing);
    }

    /** What to do now. */
    enum Step {
        /** Read the head and what it names. */
        READ_HEAD,
        /** Open the store watch. */
        OPEN_WATCH,
        /** Close the store watch, as this node is no relay any more. */
        CLOSE_WATCH,
        /** Follow the relay named in the view instead of the present one. */
        FOLLOW,
        /** End the stream from a relay, as this node is one. */
        UNFOLLOW,
        /** Ask peers for a newer version, or for any when none is installed. */
        FETCH
    }

    Set<Step> decide(DistributionState view, long nowMillis) {
        Set<Step> steps = EnumSet.noneOf(Step.class);
        boolean relay = view.rank() < RELAYS;
        if (shouldReadHead(view, relay, nowMillis)) {
            steps.add(Step.READ_HEAD);
        }
        if (relay && !view.watching() && nowMillis - view.lastWatchMillis() >= timing.retryDelayMillis()) {
            steps.add(Step.OPEN_WATCH);
        }
        if (!relay && view.watching()) {
            steps.add(Step.CLOSE_WATCH);
        }
        if (relay && view.followedAddress().isPresent()) {
            steps.add(Step.UNFOLLOW);
        }
        if (shouldFollowRelay(view, relay, nowMillis)) {
            steps.add(Step.FOLLOW);
        }
        if (shouldFetch(view, nowMillis)) {
            steps.add(Step.FETCH);
        }
        return steps;
    }

    private boolean shouldReadHead(DistributionState view, boolean relay, long nowMillis) {
        if (nowMillis - view.lastReadMillis() < timing.headReadPeriodMillis()) {
            return false;
        }
        boolean old = view.contactAgeMillis() < 0 || view.contactAgeMillis() > timing.staleContactAgeMillis();
        return relay || view.installedVersion() == 0 || (old && view.rank() < FALLBACK_READERS);
    }

    private boolean shouldFollowRelay(DistributionState view, boolean relay, long nowMillis) {
        return !relay
                && view.relayAddress().isPresent()
                && !view.relayAddress().equals(view.followedAddress())
                && nowMillis - view.lastFollowMillis() >= timing.retryDelayMillis();
    }

    private boolean shouldFetch(DistributionState view, long nowMillis) {
        long sinceFetchMillis = nowMillis - view.lastFetchMillis();
        boolean behind = view.heardVersion() > view.installedVersion();
        boolean without = view.installedVersion() == 0;
        return (behind && sinceFetchMillis >= timing.decisionPeriodMillis())
                || (without && sinceFetchMillis >= timing.retryDelayMillis());
    }
}
