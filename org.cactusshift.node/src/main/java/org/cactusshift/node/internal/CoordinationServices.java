package org.cactusshift.node.internal;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.cactusshift.config.NodeSettings;
import org.cactusshift.config.TimingConfig;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.change.ChangeTiming;
import org.cactusshift.internal.coordination.change.PlannedChangeStateMachine;
import org.cactusshift.internal.coordination.claim.ClaimService;
import org.cactusshift.internal.coordination.claim.ClaimServiceDependencies;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.DutyService;
import org.cactusshift.internal.coordination.lease.LeaseTiming;
import org.cactusshift.internal.coordination.order.OrderListener;
import org.cactusshift.internal.coordination.order.OrderService;
import org.cactusshift.internal.coordination.order.OrderServiceDependencies;
import org.cactusshift.internal.coordination.order.OrderTiming;
import org.cactusshift.internal.coordination.store.KeyValueStore;
import org.cactusshift.internal.coordination.usage.SealedWindow;
import org.cactusshift.internal.coordination.usage.UsageReporter;
import org.cactusshift.internal.coordination.usage.UsageService;
import org.cactusshift.internal.coordination.usage.UsageServiceDependencies;
import org.cactusshift.internal.coordination.usage.UsageShards;
import org.cactusshift.internal.transport.peer.PeerClient;
import org.cactusshift.internal.transport.platform.HttpEngineOrderTransport;
import org.cactusshift.internal.transport.platform.HttpUsageReporter;
import org.cactusshift.internal.transport.platform.PlatformHttpClient;

/**
 * The coordination services of a node. Usage, claims and engine orders are split into duties. A duty is a task of the
 * site that one node at a time performs under a lease.
 *
 * @param duties acquires, renews and releases duties
 * @param usage records usage and reports sealed usage windows
 * @param claims claims non-repeatable calls that carry an idempotency key
 * @param orders records and sends orders to engines
 * @param changes changes engines to their declared version and role
 */
record CoordinationServices(
        DutyService duties, UsageService usage, ClaimService claims, OrderService orders, PlannedChangeService changes)
        implements AutoCloseable {
    /** Must be the same on all nodes of a site and must never change, as it assigns client accounts to duties. */
    private static final UsageShards USAGE_SHARDS = new UsageShards(4);
    /** Must be the same on all nodes of a site and must never change, as it assigns claims to duties. */
    private static final int CLAIM_SHARDS = 8;

    static CoordinationServices create(
            NodeIdentity self,
            KeyValueStore store,
            PeerClient peerClient,
            PlatformHttpClient platform,
            PlannedChangeDependencies changeDependencies,
            TimingConfig timing,
            LongSupplier monotonicMillis) {
        NodeSettings settings = self.settings();
        DutyService duties = DutyService.create(
                store, settings.site(), self.holder(), LeaseTiming.ofTtl(timing.leaseTtlMillis()), monotonicMillis);
        UsageService usage = UsageService.create(new UsageServiceDependencies(
                settings.site(),
                self.holder(),
                USAGE_SHARDS,
                timing.usageWindowMillis(),
                timing.usageHandOverMillis(),
                store,
                duties,
                duties,
                GrpcUsageBatchSender.over(peerClient),
                usageReporter(settings.usageAddress(), platform),
                monotonicMillis,
                System::currentTimeMillis));
        ClaimService claims = ClaimService.create(new ClaimServiceDependencies(
                settings.site(),
                self.holder(),
                CLAIM_SHARDS,
                store,
                duties,
                duties,
                GrpcClaimHolderClient.over(peerClient),
                monotonicMillis,
                System::currentTimeMillis));
        HttpEngineOrderTransport engineOrders = HttpEngineOrderTransport.create(platform);
        // Set below, as the order transport and the planned-change service depend on each other.
        AtomicReference<PlannedChangeService> changes = new AtomicReference<>();
        OrderService orders = OrderService.create(new OrderServiceDependencies(
                settings.site(),
                OrderTiming.of(LeaseTiming.ofTtl(timing.leaseTtlMillis()), platform.timeoutMillis()),
                store,
                duties,
                new DrainCheckingOrderTransport(
                        engineOrders, order -> changes.get().isDrained(order)),
                OrderListener.NONE,
                monotonicMillis));
        changes.set(new PlannedChangeService(
                changeDependencies.config(),
                new PlannedChangeDriverDependencies(
                        self.incarnation(),
                        new AtomicLong(),
                        PlannedChangeStateMachine.create(ChangeTiming.of(timing.drainTimeoutMillis())),
                        orders,
                        engineOrders,
                        new DrainCoordinator(
                                self.sender(),
                                changeDependencies.membership(),
                                peerClient,
                                changeDependencies.drains(),
                                changeDependencies.workers(),
                                monotonicMillis),
                        changeDependencies.workers(),
                        changeDependencies.listener(),
                        monotonicMillis),
                engineOrderDuties -> duties.setRequiredDuties(requiredDuties(engineOrderDuties))));
        return new CoordinationServices(duties, usage, claims, orders, changes.get());
    }

    private static List<DutyId> requiredDuties(Set<DutyId> engineOrderDuties) {
        List<DutyId> required = new ArrayList<>(USAGE_SHARDS.duties());
        for (int shard = 0; shard < CLAIM_SHARDS; shard++) {
            required.add(DutyId.claim(shard));
        }
        required.addAll(engineOrderDuties);
        return required;
    }

    private static UsageReporter usageReporter(Optional<String> address, PlatformHttpClient platform) {
        return address.<UsageReporter>map(configured -> HttpUsageReporter.create(platform, configured))
                .orElse(new UnconfiguredUsageReporter());
    }

    void start() {
        duties.setRequiredDuties(requiredDuties(Set.of()));
        duties.start();
        usage.start();
        claims.start();
        orders.start();
        changes.start();
    }

    /** Closes the services, which hand over usage counts while the node holds its duties, then releases the duties. */
    @Override
    public void close() {
        changes.close();
        orders.close();
        usage.close();
        claims.close();
        duties.close();
    }

    /**
     * Fails every report, as the settings contain no address of the usage service; sealed windows stay in the store.
     */
    private static final class UnconfiguredUsageReporter implements UsageReporter {
        @Override
        public Either<Failure, Receipt> report(SealedWindow window) {
            return Either.left(Failure.noEffect(
                    "report usage window",
                    "local",
                    "the settings contain no usageAddress; the window stays in the store"));
        }
    }
}
