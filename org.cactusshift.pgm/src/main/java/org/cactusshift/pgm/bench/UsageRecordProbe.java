package org.cactusshift.pgm.bench;

import java.util.ArrayList;
import java.util.List;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.internal.coordination.usage.UsageKey;
import org.cactusshift.internal.coordination.usage.UsageLedger;
import org.cactusshift.internal.coordination.usage.UsageStream;
import org.cactusshift.internal.coordination.usage.UsageTotals;
import org.cactusshift.internal.coordination.usage.UsageWindows;
import org.cactusshift.messages.Sender;
import org.cactusshift.messages.UsageBatch;
import org.cactusshift.node.internal.NodeDefaults;

/**
 * Measures the size of a usage shard's durable record, the CPU time of encoding it, and the size of the batches that
 * nodes hand over to it.
 */
final class UsageRecordProbe implements Probe {
    private static final int SHARDS = 4;
    private static final long NOW_EPOCH_MILLIS = 1_800_000_000_000L;
    private static final long WINDOW_MILLIS = NodeDefaults.TIMING.usageWindowMillis();
    /** As many hand-overs as {@code UsageServiceDependencies} allows after the end of a window. */
    private static final long GRACE_MILLIS = 3 * NodeDefaults.TIMING.usageHandOverMillis();
    /** A row holds the counts of one account and service. */
    private static final int ROWS_TODAY = SiteSizes.ACCOUNTS_TODAY / SHARDS;

    private static final int ROWS_PLANNED = SiteSizes.ACCOUNTS_PLANNED / SHARDS;
    /** One stream per incarnation, each kept for a day: the nodes, and 1,700 restarts and 210 failures in a day. */
    private static final int STREAMS_PLANNED = SiteSizes.NODES_PLANNED + 1_700 + 210;

    private final Sender sender = Sender.newBuilder()
            .setInstanceId(BenchSite.instance(1).value())
            .setIncarnationId(BenchSite.incarnation(1).value())
            .setPeerAddress(BenchSite.peerAddress(1))
            .build();

    @Override
    public List<ScalingMeasurement> measure(Scale scale) {
        List<Sample> rowBytes = new ArrayList<>();
        List<Sample> rowCpu = new ArrayList<>();
        List<Sample> streamBytes = new ArrayList<>();
        List<Sample> batchBytes = new ArrayList<>();
        for (int count : scale.sizes(500, 1_000, 1_900)) {
            UsageWindows rows = windows();
            rows.accept(stream(0), batch(count), NOW_EPOCH_MILLIS);
            rowBytes.add(new Sample(count, rows.snapshot().body().length));
            rowCpu.add(new Sample(count, Meter.cpuMicros(scale.repeats(), rows::snapshot)));
            UsageWindows streams = windows();
            for (int node = 0; node < count; node++) {
                streams.accept(stream(node), batch(1), NOW_EPOCH_MILLIS);
            }
            streamBytes.add(new Sample(count, streams.snapshot().body().length));
            batchBytes.add(new Sample(count, batch(count).getSerializedSize()));
        }
        return List.of(
                measurement(
                        NodeRole.USAGE_SHARD, "record of a shard, bytes", "row", ROWS_TODAY, ROWS_PLANNED, rowBytes),
                measurement(
                        NodeRole.USAGE_SHARD,
                        "record of a shard, CPU us of a write",
                        "row",
                        ROWS_TODAY,
                        ROWS_PLANNED,
                        rowCpu),
                measurement(
                        NodeRole.USAGE_SHARD,
                        "record of a shard, bytes",
                        "start of a node",
                        SiteSizes.NODES_TODAY,
                        STREAMS_PLANNED,
                        streamBytes),
                // The accounts in one hand-over of a node: 2 today, 26 planned.
                measurement(NodeRole.GATEWAY, "usage hand-over, bytes", "account that changed", 2, 26, batchBytes));
    }

    private static ScalingMeasurement measurement(
            NodeRole role, String measure, String per, int today, int planned, List<Sample> samples) {
        return new ScalingMeasurement(role, measure, per, today, planned, samples);
    }

    private static UsageWindows windows() {
        return UsageWindows.load(BenchSite.SITE, 0, WINDOW_MILLIS, GRACE_MILLIS, new byte[0]);
    }

    private static UsageStream stream(int node) {
        IncarnationId incarnation = BenchSite.incarnation(node);
        return new UsageStream(incarnation, NOW_EPOCH_MILLIS - node);
    }

    private UsageBatch batch(int rows) {
        UsageLedger ledger = UsageLedger.create(sender, 0, WINDOW_MILLIS);
        for (int account = 0; account < rows; account++) {
            ledger.add(
                    new UsageKey(BenchSite.accountId(account), BenchSite.MODEL),
                    UsageTotals.onTime(40_000 + account, 3_400 + account, 10),
                    NOW_EPOCH_MILLIS);
        }
        return ledger.batchesToSend(NOW_EPOCH_MILLIS).get(0);
    }
}
