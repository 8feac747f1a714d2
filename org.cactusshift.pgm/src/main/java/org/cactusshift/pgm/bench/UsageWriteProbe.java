package org.cactusshift.pgm.bench;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.AttemptId;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;
import org.cactusshift.internal.coordination.usage.UsageBatchSender;
import org.cactusshift.internal.coordination.usage.UsageRecord;
import org.cactusshift.internal.coordination.usage.UsageReporter;
import org.cactusshift.internal.coordination.usage.UsageService;
import org.cactusshift.internal.coordination.usage.UsageServiceDependencies;
import org.cactusshift.internal.coordination.usage.UsageShards;
import org.cactusshift.messages.UsageAck;
import org.cactusshift.messages.UsageBatch;
import org.cactusshift.node.internal.NodeDefaults;

/**
 * Measures the store writes of a node that holds all usage shards, while each of a fixed number of client accounts
 * records usage again and again, with a fixed pause in between.
 */
final class UsageWriteProbe implements Probe {
    private static final long MEASURE_MILLIS = 5_000;
    private static final long WARM_UP_MILLIS = 2_000;
    private static final long RECORD_INTERVAL_MILLIS = 50;
    private static final int ACCOUNTS = 200;
    /** The number of usage shards of a site, now and as planned. */
    private static final int SITE_SHARDS = 4;

    /** Fails every hand-over, as the probe runs a single node. */
    private static final class NoPeers implements UsageBatchSender {
        @Override
        public Either<Failure, UsageAck> send(DutyHolder holder, UsageBatch batch) {
            return Either.left(Failure.noEffect("hand over usage", holder.peerAddress(), "unreachable"));
        }
    }

    @Override
    public List<ScalingMeasurement> measure(Scale scale) {
        List<Sample> writeRates = new ArrayList<>();
        for (int shards : scale.sizes(4, 8, 16)) {
            writeRates.add(new Sample(shards, writesPerSecond(scale, shards)));
        }
        // The number of shards does not grow from a current to a planned site.
        return List.of(new ScalingMeasurement(
                NodeRole.USAGE_SHARD, "store writes/s", "shard", SITE_SHARDS, SITE_SHARDS, writeRates));
    }

    private static double writesPerSecond(Scale scale, int shards) {
        CountingStore store = CountingStore.of(InMemoryKeyValueStore.create(BenchSite.MONOTONIC_MILLIS));
        FixedHolder duties = new FixedHolder(BenchSite.holder(1), 1);
        try (UsageService usage = UsageService.create(new UsageServiceDependencies(
                BenchSite.SITE,
                duties.holder(),
                new UsageShards(shards),
                NodeDefaults.TIMING.usageWindowMillis(),
                NodeDefaults.TIMING.usageHandOverMillis(),
                store.countedStore(),
                duties,
                duties,
                new NoPeers(),
                window -> Either.right(UsageReporter.Receipt.RECORDED),
                BenchSite.MONOTONIC_MILLIS,
                System::currentTimeMillis))) {
            usage.start();
            recordFor(usage, scale.durationMillis(WARM_UP_MILLIS));
            long before = store.writes();
            long startNanos = System.nanoTime();
            recordFor(usage, scale.durationMillis(MEASURE_MILLIS));
            return (store.writes() - before) / ((System.nanoTime() - startNanos) / 1e9);
        }
    }

    private static void recordFor(UsageService usage, long durationMillis) {
        for (long elapsedMillis = 0; elapsedMillis < durationMillis; elapsedMillis += RECORD_INTERVAL_MILLIS) {
            for (int account = 0; account < ACCOUNTS; account++) {
                usage.record(
                        new UsageRecord(
                                BenchSite.accountId(account),
                                BenchSite.MODEL,
                                AttemptId.fromString("attempt-" + account),
                                400,
                                50,
                                1),
                        System.currentTimeMillis());
            }
            Meter.pause(RECORD_INTERVAL_MILLIS);
        }
    }
}
