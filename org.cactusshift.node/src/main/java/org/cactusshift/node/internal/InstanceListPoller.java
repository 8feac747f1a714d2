package org.cactusshift.node.internal;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.configsync.ConfigSource;
import org.cactusshift.internal.coordination.dispatch.DispatchService;
import org.cactusshift.internal.coordination.dispatch.ExclusionCause;
import org.cactusshift.internal.coordination.membership.MembershipTable;
import org.cactusshift.internal.transport.platform.HttpInstanceListReader;

/**
 * Polls the platform's instance list, updates the membership table from it, and excludes leaving upstreams from
 * dispatch.
 */
final class InstanceListPoller implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(InstanceListPoller.class.getName());
    private static final long PERIOD_MILLIS = 1_000;

    private final HttpInstanceListReader instanceList;
    private final MembershipTable membership;
    private final ConfigSource config;
    private final DispatchService dispatch;
    private final LongSupplier monotonicMillis;
    private final ScheduledFuture<?> timer;
    private Set<UpstreamId> leavingUpstreams = Set.of();

    private InstanceListPoller(
            HttpInstanceListReader instanceList,
            MembershipTable membership,
            ConfigSource config,
            DispatchService dispatch,
            LongSupplier monotonicMillis,
            ScheduledExecutorService scheduler) {
        this.instanceList = instanceList;
        this.membership = membership;
        this.config = config;
        this.dispatch = dispatch;
        this.monotonicMillis = monotonicMillis;
        this.timer = scheduler.scheduleWithFixedDelay(this::poll, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    static InstanceListPoller start(
            HttpInstanceListReader instanceList,
            MembershipTable membership,
            ConfigSource config,
            DispatchService dispatch,
            LongSupplier monotonicMillis,
            ScheduledExecutorService scheduler) {
        return new InstanceListPoller(instanceList, membership, config, dispatch, monotonicMillis, scheduler);
    }

    private void poll() {
        try {
            instanceList
                    .read()
                    .peek(instances -> membership.updateFromInstanceList(instances, monotonicMillis.getAsLong()))
                    .peekLeft(failure -> LOG.log(System.Logger.Level.WARNING, failure::toString));
            updateExclusions(membership.leavingUpstreams());
        } catch (RuntimeException e) {
            // Caught so that the periodic task continues; an exception here is a defect, not a failure of the platform.
            LOG.log(System.Logger.Level.ERROR, "polling the instance list failed; the next period tries again", e);
        }
    }

    private void updateExclusions(Set<UpstreamId> nowLeaving) {
        if (config.active().isEmpty()) {
            return;
        }
        Set<UpstreamId> affected = new HashSet<>(leavingUpstreams);
        affected.addAll(nowLeaving);
        for (UpstreamConfig upstream : config.active().get().config().upstreams()) {
            if (affected.contains(upstream.id())) {
                boolean isLeaving = nowLeaving.contains(upstream.id());
                dispatch.setExcluded(upstream.service(), upstream.id(), ExclusionCause.INSTANCE_LIST, isLeaving);
            }
        }
        leavingUpstreams = Set.copyOf(nowLeaving);
    }

    @Override
    public void close() {
        timer.cancel(false);
    }
}
