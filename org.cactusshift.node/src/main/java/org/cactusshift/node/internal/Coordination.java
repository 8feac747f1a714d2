package org.cactusshift.node.internal;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cactusshift.config.NodeSettings;
import org.cactusshift.config.TimingConfig;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.claim.ClaimService;
import org.cactusshift.internal.coordination.claim.ClaimServiceSetup;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.DutyService;
import org.cactusshift.internal.coordination.lease.LeaseTiming;
import org.cactusshift.internal.coordination.store.KeyValueStore;
import org.cactusshift.internal.coordination.usage.SealedWindow;
import org.cactusshift.internal.coordination.usage.UsageReporter;
import org.cactusshift.internal.coordination.usage.UsageService;
import org.cactusshift.internal.coordination.usage.UsageServiceSetup;
import org.cactusshift.internal.coordination.usage.UsageShards;
import org.cactusshift.internal.transport.peer.PeerConnections;
import org.cactusshift.internal.transport.platform.HttpUsageReporter;
import org.cactusshift.internal.transport.platform.PlatformCalls;

/**
 * The duties of a node: usage windows and claims, each in shards held under leases.
 *
 * @param duties holds the leases
 * @param usage bills
 * @param claims claims calls that may run at most once
 */
record Coordination(DutyService duties, UsageService usage, ClaimService claims) implements AutoCloseable {
    private static final UsageShards USAGE_SHARDS = new UsageShards(4);
    private static final int CLAIM_SHARDS = 8;

    static Coordination create(
            NodeIdentity self,
            KeyValueStore store,
            PeerConnections connections,
            PlatformCalls platform,
            TimingConfig timing,
            LongSupplier clockMillis) {
        NodeSettings settings = self.settings();
        DutyService duties = DutyService.create(
                store, settings.site(), self.holder(), LeaseTiming.ofTtl(timing.leaseTtlMillis()), clockMillis);
        UsageService usage = UsageService.create(new UsageServiceSetup(
                settings.site(),
                self.holder(),
                USAGE_SHARDS,
                timing.usageWindowMillis(),
                timing.usageHandOverMillis(),
                store,
                duties,
                duties,
                GrpcUsagePeers.over(connections),
                reporter(settings.usageAddress(), platform),
                clockMillis,
                System::currentTimeMillis));
        ClaimService claims = ClaimService.create(new ClaimServiceSetup(
                settings.site(),
                self.holder(),
                CLAIM_SHARDS,
                store,
                duties,
                duties,
                GrpcClaimPeers.over(connections),
                clockMillis,
                System::currentTimeMillis));
        return new Coordination(duties, usage, claims);
    }

    private static UsageReporter reporter(Optional<String> address, PlatformCalls platform) {
        return address.<UsageReporter>map(present -> HttpUsageReporter.create(platform, present))
                .orElse(new WithoutUsageInterface());
    }

    void start() {
        List<DutyId> sought = new ArrayList<>(USAGE_SHARDS.duties());
        for (int shard = 0; shard < CLAIM_SHARDS; shard++) {
            sought.add(DutyId.claim(shard));
        }
        duties.setSoughtDuties(sought);
        duties.start();
        usage.start();
        claims.start();
    }

    /** Hands over what this node holds, then gives up the duties. */
    @Override
    public void close() {
        usage.close();
        claims.close();
        duties.close();
    }

    /** Keeps sealed windows in the store when the settings name no usage interface. */
    private static final class WithoutUsageInterface implements UsageReporter {
        @Override
        public Either<Failure, Receipt> report(SealedWindow window) {
            return Either.left(Failure.noEffect("report usage window", "local", "no usage interface is set"));
        }
    }
}
