package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
    private final Map<UpstreamIncarnation, Long> announcedAtMillis = new HashMap<>();
    private final Map<UpstreamIncarnation, Long> orderedUntilMillis = new HashMap<>();
    private boolean writePending;

    /** The mod revision of the changes that this node wrote last; 0 before the first write. */
    private long writtenRevision;

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
        if (writePending || (stored != null && stored.modRevision() < writtenRevision)) {
            return;
        }
        StageChanges announced = (stored == null
                        ? Optional.<StageChanges>empty()
                        : StageChangesCodec.decode(stored.value()))
                .orElse(StageChanges.NONE);
        long switchMillis = service.engine().orElseThrow().roleSwitchMillis();
        Map<UpstreamId, EngineStage> pendingStages = new HashMap<>();
        for (Upstream engine : engines) {
            announced.pendingStage(engine).ifPresent(stage -> {
                pendingStages.put(engine.id(), stage);
                orderWhenDue(holder, engine, stage, switchMillis, nowMillis);
            });
        }
        List<StagePlanner.Change> changes = planned(engines, pendingStages, nowMillis);
        if (!changes.isEmpty()) {
            announce(stored, announced.pending(directory).plus(changes));
        }
        announcedAtMillis.keySet().removeIf(engine -> !directory.lists(engine));
        orderedUntilMillis.keySet().removeIf(engine -> !directory.lists(engine));
    }

    private List<StagePlanner.Change> planned(
            List<Upstream> engines, Map<UpstreamId, EngineStage> pendingStages, long nowMillis) {
        // At most half of the engines, rounded up, change at a time, so that the others continue to serve.
        int maximumChanges = (engines.size() + 1) / 2 - pendingStages.size();
        List<StagePlanner.Change> changes = new ArrayList<>();
        for (StagePlanner.Change change : StagePlanner.plan(engines, pendingStages)) {
            // The calls would count against the limit of an engine that needs relief, or reach one that rests.
            boolean mayBeCalled = !limits.isLimited(change.engine().incarnation())
                    && !change.engine().rest().lasts(nowMillis);
            if (mayBeCalled && changes.size() < maximumChanges) {
                changes.add(change);
            }
        }
        return changes;
    }

    private void announce(VersionedValue stored, StageChanges changes) {
        writePending = true;
        log.event("fleet.stagesAnnounced")
                .with("engines", changes.stageByEngine().size())
                .write();
        long expected = stored == null ? 0 : stored.modRevision();
        store.compareAndSwap(
                new AsyncKeyValueStore.Write(
                        key, expected, StageChangesCodec.encode(changes), LeaseGrant.NONE, List.of()),
                this::onAnnounced);
    }

    private void onAnnounced(Either<Failure, SwapResult> swap) {
        writePending = false;
        if (swap.isRight() && swap.get().isApplied()) {
            writtenRevision = swap.get().revision();
        } else if (swap.isLeft()) {
            log.event("fleet.stagesNotAnnounced")
                    .with("failure", swap.getLeft())
                    .write();
        }
    }

    private void orderWhenDue(
            DutyCaller holder, Upstream engine, EngineStage stage, long switchMillis, long nowMillis) {
        UpstreamIncarnation incarnation = engine.incarnation();
        long announcedAt = announcedAtMillis.computeIfAbsent(incarnation, first -> nowMillis);
        boolean isKnownToAll = nowMillis - announcedAt >= follower.longestReadPeriodMillis() + READ_MILLIS;
        if (!isKnownToAll || nowMillis < orderedUntilMillis.getOrDefault(incarnation, Long.MIN_VALUE)) {
            return;
        }
        orderedUntilMillis.put(incarnation, nowMillis + switchMillis + ORDER_RETRY_DELAY_MILLIS);
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
