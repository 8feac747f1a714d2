package org.cactusshift.pgm.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cactusshift.internal.coordination.membership.ListedInstance;
import org.cactusshift.internal.coordination.membership.MembershipTable;
import org.cactusshift.internal.transport.platform.HttpInstanceListReader;
import org.cactusshift.internal.transport.platform.PlatformHttpClient;
import org.cactusshift.node.internal.NodeDefaults;

/** Measures reading the platform's instance list, and the memory of the membership table that it fills. */
final class MembershipProbe implements Probe {
    private static final int INSTANCES_TODAY = SiteSizes.NODES_TODAY + SiteSizes.ENGINES_TODAY;
    private static final int INSTANCES_PLANNED = SiteSizes.NODES_PLANNED + SiteSizes.ENGINES_PLANNED;
    /** The share of nodes in the listed instances of a planned site; the others are engines. */
    private static final int NODE_PERCENT = 100 * SiteSizes.NODES_PLANNED / INSTANCES_PLANNED;

    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int REPEATS_DIVISOR = 20;

    @Override
    public List<ScalingMeasurement> measure(Scale scale) {
        List<Sample> listBytes = new ArrayList<>();
        List<Sample> listCpu = new ArrayList<>();
        List<Sample> tableBytes = new ArrayList<>();
        for (int instances : scale.sizes(1_500, 4_500, 9_000, 13_800)) {
            measure(scale, instances, listBytes, listCpu, tableBytes);
        }
        return List.of(
                measurement("read of the list, bytes", listBytes),
                measurement("read of the list, CPU us", listCpu),
                measurement("table, bytes", tableBytes));
    }

    private static ScalingMeasurement measurement(String measure, List<Sample> samples) {
        return new ScalingMeasurement(
                NodeRole.MEMBERSHIP, measure, "listed instance", INSTANCES_TODAY, INSTANCES_PLANNED, samples);
    }

    private static void measure(
            Scale scale, int instances, List<Sample> listBytes, List<Sample> listCpu, List<Sample> tableBytes) {
        String listJson = instanceListJson(instances);
        int repeats = Math.max(1, scale.repeats() / REPEATS_DIVISOR);
        try (CountingServer server = CountingServer.start(head -> listJson);
                PlatformHttpClient calls = PlatformHttpClient.create(TIMEOUT_MILLIS)) {
            HttpInstanceListReader reader = HttpInstanceListReader.create(calls, server.address());
            long before = server.bytes();
            List<ListedInstance> read = reader.read().get();
            listBytes.add(new Sample(instances, server.bytes() - before));
            MembershipTable reused = table();
            listCpu.add(new Sample(
                    instances,
                    Meter.cpuMicros(
                            repeats,
                            () -> reused.updateFromInstanceList(
                                    reader.read().get(), BenchSite.MONOTONIC_MILLIS.getAsLong()))));
            tableBytes.add(new Sample(instances, Meter.retainedBytes(() -> {
                MembershipTable table = table();
                table.updateFromInstanceList(read, BenchSite.MONOTONIC_MILLIS.getAsLong());
                return table;
            })));
        }
    }

    private static MembershipTable table() {
        return MembershipTable.create(
                BenchSite.instance(SiteSizes.NODES_PLANNED), NodeDefaults.TIMING.suspicionMillis());
    }

    private static String instanceListJson(int instances) {
        return IntStream.range(0, instances)
                .mapToObj(i -> listEntryJson(i, i % 100 < NODE_PERCENT))
                .collect(Collectors.joining(",", "{\"instances\":[", "]}"));
    }

    private static String listEntryJson(int number, boolean isNode) {
        return String.format(
                "{\"instance_id\":\"%s-%05d\",\"kind\":\"%s\",\"address\":\"10.0.%d.%d:8000\","
                        + "\"peer_address\":\"10.0.%d.%d:7000\",\"failure_domain\":\"%s\",\"state\":\"live\"}",
                isNode ? "entry" : "engine",
                number,
                isNode ? "entry" : "upstream",
                number / 250,
                number % 250,
                number / 250,
                number % 250,
                BenchSite.failureDomain(number % SiteSizes.FAILURE_DOMAINS_PLANNED));
    }
}
