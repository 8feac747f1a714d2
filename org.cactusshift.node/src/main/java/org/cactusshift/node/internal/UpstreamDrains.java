package org.cactusshift.node.internal;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.configsync.ConfigSource;
import org.cactusshift.internal.coordination.configsync.InstalledConfig;
import org.cactusshift.internal.coordination.dispatch.DispatchService;
import org.cactusshift.internal.coordination.dispatch.LeavingCause;
import org.cactusshift.messages.DrainStatus;

/**
 * Drains of upstreams that the holder of an order asked this node for.
 *
 * <p>A drain lasts while the holder repeats its request: when the holder dies, new work resumes by itself. Safe for use
 * by several threads.
 */
final class UpstreamDrains {
    private static final long HOLD_MILLIS = 5_000;

    private final ConfigSource config;
    private final DispatchService dispatch;
    private final LongSupplier clockMillis;
    private final Map<UpstreamId, Long> heldUntilMillis = new ConcurrentHashMap<>();

    UpstreamDrains(ConfigSource config, DispatchService dispatch, LongSupplier clockMillis) {
        this.config = config;
        this.dispatch = dispatch;
        this.clockMillis = clockMillis;
    }

    /** Stops new work on the upstream for a bounded time; a node with an older configuration does not acknowledge. */
    DrainStatus acknowledge(UpstreamId upstream, long configVersion) {
        Optional<InstalledConfig> installed = config.current();
        Optional<UpstreamConfig> declared = installed.flatMap(current -> find(current, upstream));
        if (declared.isEmpty() || installed.get().version() < configVersion) {
            return DrainStatus.getDefaultInstance();
        }
        heldUntilMillis.put(upstream, clockMillis.getAsLong() + HOLD_MILLIS);
        dispatch.onLeaving(declared.get().service(), upstream, LeavingCause.PLANNED_CHANGE, true);
        return DrainStatus.newBuilder()
                .setAcknowledged(true)
                .setInFlight(dispatch.openAttempts(declared.get().service(), upstream))
                .build();
    }

    /** Lets work resume on upstreams whose drain was not repeated. */
    void expire() {
        long nowMillis = clockMillis.getAsLong();
        config.current()
                .ifPresent(current -> heldUntilMillis.forEach((upstream, until) -> {
                    if (until <= nowMillis && heldUntilMillis.remove(upstream, until)) {
                        find(current, upstream)
                                .ifPresent(declared -> dispatch.onLeaving(
                                        declared.service(), upstream, LeavingCause.PLANNED_CHANGE, false));
                    }
                }));
    }

    private static Optional<UpstreamConfig> find(InstalledConfig installed, UpstreamId upstream) {
        return installed.config().upstreams().stream()
                .filter(declared -> declared.id().equals(upstream))
                .findFirst();
    }
}
