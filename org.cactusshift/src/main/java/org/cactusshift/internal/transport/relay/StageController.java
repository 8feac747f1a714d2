package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.UpstreamIncarnation;
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.serving.EngineStage;
import org.cactusshift.internal.coordination.serving.ServedService;
import org.cactusshift.internal.coordination.serving.StageChanges;
import org.cactusshift.internal.coordination.serving.StagePlanner;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Brings engines to their planned stages. A change is announced to all nodes in the store, and ordered when they must
 * have read the announcement, so that no node sends requests to an engine that refuses them. A successor of the holder
 * finds the announced changes in the store and orders them again; an engine carries out an order once.
 */
final class StageController {
    /** Delay, in addition to the duration of the change itself, before an order is sent again. */
    private static final long ORDER_RETRY_DELAY_MILLIS = 4_000;

    /** What a read of the announcement and the message about it take, in addition to the wait for the read. */
    private static final long READ_MILLIS = 300;

    private final FleetOrderClient client;
    private final AsyncKeyValueStore store;
    private final SiteStateFollower follower;
    private final UpstreamDirectory directory;
    private final UpstreamRequestLimits limits;
    private final BiConsumer<DutyCaller, Either<Failure, FleetOrderClient.Result>> resultListener;
    private final String key;
    private final EventLog log;
    private final Map<UpstreamIncarnation, Announcement> announcements = new HashMap<>();
    private boolean writePending;

    /** The mod revision of the changes that this node wrote last; 0 before the first write. */
    private long writtenRevision;

    /** An announced change as this node has read it. */
    private static final class Announcement {
        final EngineStage stage;
        final long readAtMillis;
        long orderedUntilMillis = Long.MIN_VALUE;

        Announcement(EngineStage stage, long readAtMillis) {
            this.stage = stage;
            this.readAtMillis = readAtMillis;
        }

        /** Returns whether nodes use the engine again although it has not changed its stage. */
        boolean isExpired(long nowMillis) {
            return nowMillis - readAtMillis >= Upstream.STAGE_CHANGE_LIMIT_MILLIS;
        }
    }

    private StageController(
            FleetOrderClient client,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            UpstreamDirectory directory,
            UpstreamRequestLimits limits,
            BiConsumer<DutyCaller, Either<Failure, FleetOrderClient.Result>> resultListener,
            String key,
            EventLog log) {
        this.client = client;
        this.store = store;
        this.follower = follower;
        this.directory = directory;
        this.limits = limits;
        this.resultListener = resultListener;
        this.key = key;
        this.log = log;
    }

    /**
     * Returns a controller that has announced nothing yet.
     *
     * @param resultListener receives the holder that sent an order, and the result
     * @param key the store key of the announced changes
     */
    static StageController create(
            FleetOrderClient client,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            UpstreamDirectory directory,
            UpstreamRequestLimits limits,
            BiConsumer<DutyCaller, Either<Failure, FleetOrderClient.Result>> resultListener,
            String key,
            EventLog log) {
        return new StageController(client, store, follower, directory, limits, resultListener, key, log);
    }

    /** Forgets the revision of the last write, as the store was restored from a copy. */
    void onStoreRestored() {
        writtenRevision = 0;
    }

    /**
     * Sends the orders that are due, and announces the changes that are planned in addition.
     *
     * @param holder the sender of the orders
     * @param service the service
     * @param engines its engines that are not about to be released
     * @param nowMillis the current monotonic time, in milliseconds
     */
    void tick(DutyCaller holder, ServedService service, List<Upstream> engines, long nowMillis) {
        VersionedValue stored = follower.nodeValueByKey().get(key);
        if (writePending || (stored == null ? 0 : stored.modRevision()) < writtenRevision) {
            return;
        }
        StageChanges announced = stored == null
                ? StageChanges.NONE
                : StageChangesCodec.decode(stored.value()).orElse(StageChanges.NONE);
        long switchMillis = service.engine().orElseThrow().roleSwitchMillis();
        Map<UpstreamId, EngineStage> pendingStages = new HashMap<>();
        for (Upstream engine : engines) {
            Optional<EngineStage> stage = announced.pendingStage(engine);
            if (stage.isEmpty()) {
                announcements.remove(engine.incarnation());
                continue;
            }
            Announcement announcement = announcement(engine, stage.get(), nowMillis);
            if (!announcement.isExpired(nowMillis)) {
                pendingStages.put(engine.id(), stage.get());
                orderWhenDue(holder, engine, announcement, switchMillis, nowMillis);
            }
        }
        announcements.keySet().removeIf(engine -> !directory.lists(engine));
        StageChanges pending = announced.pending(directory).without(expired(nowMillis));
        if (!pending.equals(announced)) {
            // Complete and expired changes are withdrawn first, so that a further change of the same engine is new.
            announce(stored, pending);
            return;
        }
        List<StagePlanner.Change> changes = planned(engines, pendingStages, nowMillis);
        if (!changes.isEmpty()) {
            announce(stored, pending.plus(changes));
        }
    }

    /** Returns the announcement of a change, recorded now if it was not read before. */
    private Announcement announcement(Upstream engine, EngineStage stage, long nowMillis) {
        Announcement known = announcements.get(engine.incarnation());
        if (known != null && known.stage == stage) {
            return known;
        }
        Announcement read = new Announcement(stage, nowMillis);
        announcements.put(engine.incarnation(), read);
        return read;
    }

    private Set<UpstreamIncarnation> expired(long nowMillis) {
        Set<UpstreamIncarnation> expired = new HashSet<>();
        announcements.forEach((engine, announcement) -> {
            if (announcement.isExpired(nowMillis)) {
                expired.add(engine);
            }
        });
        return expired;
    }

    private boolean mayBeCalled(Upstream engine, long nowMillis) {
        // The calls would count against the limit of an engine that needs relief, or reach one that rests.
        return !limits.isLimited(engine.incarnation()) && !engine.rest().lasts(nowMillis);
    }

    private List<StagePlanner.Change> planned(
            List<Upstream> engines, Map<UpstreamId, EngineStage> pendingStages, long nowMillis) {
        // At most half of the engines, rounded up, change at a time, so that the others continue to serve.
        int maximumChanges = (engines.size() + 1) / 2 - pendingStages.size();
        List<StagePlanner.Change> changes = new ArrayList<>();
        for (StagePlanner.Change change : StagePlanner.plan(engines, pendingStages)) {
            if (mayBeCalled(change.engine(), nowMillis) && changes.size() < maximumChanges) {
                changes.add(change);
            }
        }
        return changes;
    }

    private void announce(VersionedValue stored, StageChanges changes) {
        writePending = true;
        long expected = stored == null ? 0 : stored.modRevision();
        store.compareAndSwap(
                new AsyncKeyValueStore.Write(
                        key, expected, StageChangesCodec.encode(changes), LeaseGrant.NONE, List.of()),
                swap -> onAnnounced(changes, swap));
    }

    private void onAnnounced(StageChanges changes, Either<Failure, SwapResult> swap) {
        writePending = false;
        if (swap.isRight() && swap.get().isApplied()) {
            writtenRevision = swap.get().revision();
            log.event("fleet.stagesAnnounced")
                    .with("engines", changes.stageByEngine().size())
                    .write();
        } else if (swap.isLeft()) {
            log.event("fleet.stagesNotAnnounced")
                    .with("failure", swap.getLeft())
                    .write();
        }
    }

    private void orderWhenDue(
            DutyCaller holder, Upstream engine, Announcement announcement, long switchMillis, long nowMillis) {
        boolean isKnownToAll =
                nowMillis - announcement.readAtMillis >= follower.longestReadPeriodMillis() + READ_MILLIS;
        if (!isKnownToAll || nowMillis < announcement.orderedUntilMillis || !mayBeCalled(engine, nowMillis)) {
            return;
        }
        announcement.orderedUntilMillis = nowMillis + switchMillis + ORDER_RETRY_DELAY_MILLIS;
        EngineStage stage = announcement.stage;
        client.readAcceptedOrderCount(engine, accepted -> {
            if (accepted.isLeft()) {
                logOrder(engine, stage, accepted.getLeft().toString());
                return;
            }
            client.changeStage(holder, engine, stage, accepted.get(), result -> {
                logOrder(engine, stage, result.fold(Failure::toString, FleetOrderClient.Result::toString));
                resultListener.accept(holder, result);
            });
        });
    }

    private void logOrder(Upstream engine, EngineStage stage, String outcome) {
        // In the log, prefill is "reading" and decode is "output".
        log.event("fleet.stageOrdered")
                .with("upstream", engine.id().value())
                .with("stage", stage == EngineStage.PREFILL ? "reading" : "output")
                .with("outcome", outcome)
                .write();
    }
}
