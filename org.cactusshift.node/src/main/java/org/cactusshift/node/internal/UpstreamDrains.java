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
 * Drains of upstreams that the holder of an order asked this node for.
 *
 * <p>A drain lasts while the holder repeats its request: when the holder dies, new work resumes by itself. Safe for use
 * by several threads.
 */
final class UpstreamDrains {
    private static final long DRAIN_EXPIRY_MILLIS = 5_000;

    private final ConfigSource config;
    private final DispatchService dispatch;
    private final LongSupplier clockMillis;
    private final Map<UpstreamId, Long> expiryMillisByUpstream = new ConcurrentHashMap<>();

    UpstreamDrains(ConfigSource config, DispatchService dispatch, LongSupplier clockMillis) {
        this.config = config;
        this.dispatch = dispatch;
        this.clockMillis = clockMillis;
    }

    /**
     * Stops new work on the upstream for a bounded time.
     *
     * <p>A node with an older configuration does not acknowledge. Nor does one that drains another upstream of the
     * service, so that no two of them get the acknowledgement of all nodes.
     */
    synchronized DrainResponse acknowledge(UpstreamId upstream, long configVersion) {
        Optional<VersionedConfig> installed = config.current();
        Optional<UpstreamConfig> declared = installed.flatMap(current -> findDeclared(current, upstream));
        if (declared.isEmpty() || installed.get().version() < configVersion) {
            return DrainResponse.MISSING;
        }
        Optional<UpstreamId> other = findConflict(installed.get(), declared.get());
        if (other.isPresent()) {
            return DrainResponse.declinedFor(other.get());
        }
        expiryMillisByUpstream.put(upstream, clockMillis.getAsLong() + DRAIN_EXPIRY_MILLIS);
        dispatch.setExcluded(declared.get().service(), upstream, ExclusionCause.PLANNED_CHANGE, true);
        return DrainResponse.acknowledged(dispatch.openAttempts(declared.get().service(), upstream));
    }

    private Optional<UpstreamId> findConflict(VersionedConfig installed, UpstreamConfig declared) {
        return expiryMillisByUpstream.keySet().stream()
                .filter(held -> !held.equals(declared.id()))
                .filter(held -> findDeclared(installed, held)
                        .filter(one -> one.service().equals(declared.service()))
                        .isPresent())
                .findFirst();
    }

    /** Lets work resume on an upstream at once. */
    synchronized void end(UpstreamId upstream) {
        if (expiryMillisByUpstream.remove(upstream) != null) {
            resume(upstream);
        }
    }

    /** Lets work resume on upstreams whose drain was not repeated. */
    synchronized void expire() {
        long nowMillis = clockMillis.getAsLong();
        expiryMillisByUpstream.forEach((upstream, until) -> {
            if (until <= nowMillis) {
                end(upstream);
            }
        });
    }

    private void resume(UpstreamId upstream) {
        config.current()
                .flatMap(current -> findDeclared(current, upstream))
                .ifPresent(declared ->
                        dispatch.setExcluded(declared.service(), upstream, ExclusionCause.PLANNED_CHANGE, false));
    }

    private static Optional<UpstreamConfig> findDeclared(VersionedConfig installed, UpstreamId upstream) {
        return installed.config().upstreams().stream()
                .filter(declared -> declared.id().equals(upstream))
                .findFirst();
    }
}
