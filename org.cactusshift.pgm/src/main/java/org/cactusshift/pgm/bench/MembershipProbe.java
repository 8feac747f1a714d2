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
    private static final int INSTANCES = SiteSizes.NODES + SiteSizes.ENGINES;
    private static final int ENTRY_PERCENT = 100 * SiteSizes.NODES / INSTANCES;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int REPEATS_DIVISOR = 20;

    @Override
    public List<Slope> measure(Scale scale) {
        List<Sample> bytes = new ArrayList<>();
        List<Sample> cpu = new ArrayList<>();
        List<Sample> state = new ArrayList<>();
        for (int instances : scale.sizes(1_500, 4_500, 9_000, 13_800)) {
            measure(scale, instances, bytes, cpu, state);
        }
        return List.of(
                slope("read of the list, bytes", bytes),
                slope("read of the list, CPU us", cpu),
                slope("table, bytes", state));
    }

    private static Slope slope(String measure, List<Sample> samples) {
        return new Slope(Role.MEMBERSHIP, measure, "listed instance", INSTANCES_TODAY, INSTANCES, samples);
    }

    private static void measure(Scale scale, int instances, List<Sample> bytes, List<Sample> cpu, List<Sample> state) {
        String list = list(instances);
        int repeats = Math.max(1, scale.repeats() / REPEATS_DIVISOR);
        try (CountingServer server = CountingServer.start(head -> list);
                PlatformHttpClient calls = PlatformHttpClient.create(TIMEOUT_MILLIS)) {
            HttpInstanceListReader reader = HttpInstanceListReader.create(calls, server.address());
            long before = server.bytes();
            List<ListedInstance> read = reader.read().get();
            bytes.add(new Sample(instances, server.bytes() - before));
            MembershipTable reused = table();
            cpu.add(new Sample(
                    instances,
                    Meter.cpuMicros(
                            repeats,
                            () -> reused.updateFromInstanceList(
                                    reader.read().get(), BenchSite.CLOCK_MILLIS.getAsLong()))));
            state.add(new Sample(instances, Meter.retainedBytes(() -> {
                MembershipTable table = table();
                table.updateFromInstanceList(read, BenchSite.CLOCK_MILLIS.getAsLong());
                return table;
            })));
        }
    }

    private static MembershipTable table() {
        return MembershipTable.create(BenchSite.instance(SiteSizes.NODES), NodeDefaults.TIMING.suspicionMillis());
    }

    private static String list(int instances) {
        return IntStream.range(0, instances)
                .mapToObj(i -> entry(i, i % 100 < ENTRY_PERCENT))
                .collect(Collectors.joining(",", "{\"instances\":[", "]}"));
    }

    private static String entry(int number, boolean isEntryInstance) {
        return String.format(
                "{\"instance_id\":\"%s-%05d\",\"kind\":\"%s\",\"address\":\"10.0.%d.%d:8000\","
                        + "\"peer_address\":\"10.0.%d.%d:7000\",\"failure_domain\":\"%s\",\"state\":\"live\"}",
                isEntryInstance ? "entry" : "engine",
                number,
                isEntryInstance ? "entry" : "upstream",
                number / 250,
                number % 250,
                number / 250,
                number % 250,
                BenchSite.domain(number % SiteSizes.FAILURE_DOMAINS));
    }
}
