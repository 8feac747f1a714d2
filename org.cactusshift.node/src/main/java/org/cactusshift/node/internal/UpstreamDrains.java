package org.cactusshift.node.internal;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.change.DrainResponse;
import org.cactusshift.internal.coordination.configsync.ConfigSource;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.coordination.dispatch.DispatchService;
import org.cactusshift.internal.coordination.dispatch.ExclusionCause;

/**
 * Excludes upstreams from new attempts of this node while the holder of an engine-order duty drains them.
 *
 * <p>A drain lasts while the holder renews its request. If the holder fails, the drain expires and new attempts
 * resume. Thread-safe.
 */
final class UpstreamDrains {
    /**
     * Time after which a drain that is not renewed ends. It is longer than a drain round is valid, so that this node
     * does not resume attempts while the engine's order may be sent.
     */
    private static final long DRAIN_EXPIRY_MILLIS = 5_000;

    private final ConfigSource config;
    private final DispatchService dispatch;
    private final LongSupplier monotonicMillis;
    private final Map<UpstreamId, Long> expiryMillisByUpstream = new ConcurrentHashMap<>();

    UpstreamDrains(ConfigSource config, DispatchService dispatch, LongSupplier monotonicMillis) {
        this.config = config;
        this.dispatch = dispatch;
        this.monotonicMillis = monotonicMillis;
    }

    /**
     * Starts or renews the drain of an upstream: this node sends it no new attempts until the drain ends or expires.
     *
     * <p>A node does not acknowledge if its configuration is older than the given version or lacks the upstream.
     * Neither does a node that drains another upstream of the service, so that at most one of them is acknowledged by
     * all nodes.
     */
    synchronized DrainResponse startOrRenew(UpstreamId upstream, long configVersion) {
        Optional<VersionedConfig> activeConfig = config.active();
        Optional<UpstreamConfig> declared = activeConfig.flatMap(current -> findDeclared(current, upstream));
        if (declared.isEmpty() || activeConfig.get().version() < configVersion) {
            return DrainResponse.MISSING;
        }
        Optional<UpstreamId> conflicting = findConflict(activeConfig.get(), declared.get());
        if (conflicting.isPresent()) {
            return DrainResponse.declinedFor(conflicting.get());
        }
        expiryMillisByUpstream.put(upstream, monotonicMillis.getAsLong() + DRAIN_EXPIRY_MILLIS);
        dispatch.setExcluded(declared.get().service(), upstream, ExclusionCause.PLANNED_CHANGE, true);
        return DrainResponse.acknowledged(dispatch.openAttempts(declared.get().service(), upstream));
    }

    private Optional<UpstreamId> findConflict(VersionedConfig activeConfig, UpstreamConfig declared) {
        return expiryMillisByUpstream.keySet().stream()
                .filter(drained -> !drained.equals(declared.id()))
                .filter(drained -> findDeclared(activeConfig, drained)
                        .filter(other -> other.service().equals(declared.service()))
                        .isPresent())
                .findFirst();
    }

    /** Ends the drain of an upstream immediately. */
    synchronized void end(UpstreamId upstream) {
        if (expiryMillisByUpstream.remove(upstream) != null) {
            resume(upstream);
        }
    }

    /** Ends the drains that were not renewed in time. */
    synchronized void expire() {
        long nowMillis = monotonicMillis.getAsLong();
        expiryMillisByUpstream.forEach((upstream, expiryMillis) -> {
            if (expiryMillis <= nowMillis) {
                end(upstream);
            }
        });
    }

    private void resume(UpstreamId upstream) {
        config.active()
                .flatMap(current -> findDeclared(current, upstream))
                .ifPresent(declared ->
                        dispatch.setExcluded(declared.service(), upstream, ExclusionCause.PLANNED_CHANGE, false));
    }

    private static Optional<UpstreamConfig> findDeclared(VersionedConfig activeConfig, UpstreamId upstream) {
        return activeConfig.config().upstreams().stream()
                .filter(declared -> declared.id().equals(upstream))
                .findFirst();
    }
}
