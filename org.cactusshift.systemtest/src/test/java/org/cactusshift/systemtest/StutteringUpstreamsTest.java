package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs node processes beside upstreams that respond twice and checks that callers get the response to their request.
 *
 * <p>The properties {@code stutter.seeds} ({@code FIRST-LAST} or comma-separated), {@code stutter.phaseMillis} (the
 * duration of each mode, 1,500 by default), {@code stutter.nodes} (3) and {@code stutter.callers} (12) configure a
 * longer run; {@code bin/stutter} sets them.
 */
class StutteringUpstreamsTest {
    private static final List<Long> DEFAULT_SEEDS = List.of(1L);
    private static final long PHASE_MILLIS = Long.getLong("stutter.phaseMillis", 1_500);
    private static final int NODE_COUNT = Integer.getInteger("stutter.nodes", 3);
    private static final int CALLER_COUNT = Integer.getInteger("stutter.callers", 12);
    private static final int VIOLATIONS_WITH_HISTORY = 12;

    static Stream<Long> seeds() {
        String seeds = System.getProperty("stutter.seeds", "");
        if (seeds.isEmpty()) {
            return DEFAULT_SEEDS.stream();
        }
        if (seeds.contains("-")) {
            String[] ends = seeds.split("-");
            return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[1]))
                    .boxed();
        }
        return Arrays.stream(seeds.split(",")).map(Long::parseLong);
    }

    /** Guards against a response to another request, and against "not run" told of a request that ran. */
    @ParameterizedTest
    @MethodSource("seeds")
    void callersGetTheResponseToTheirRequest(long seed, @TempDir Path directory) throws Exception {
        StutterSchedule schedule = StutterSchedule.draw(seed, NODE_COUNT, PHASE_MILLIS);
        System.out.println("seed " + seed + ": " + schedule);
        StutterJudge sound = play(seed, schedule, true, directory.resolve("sound"));
        StutterJudge judge = play(seed, schedule, false, directory.resolve("stuttering"));
        for (StutterMode mode : StutterMode.values()) {
            System.out.println("seed " + seed + ": " + mode + " served " + judge.servedShare(mode) + ", sound "
                    + sound.servedShare(mode) + ", violations " + kinds(judge, mode));
        }
        System.out.printf(
                "seed %d: served %.3f %s, sound %.3f %s%n",
                seed, judge.servedShare(), judge.responsesByStatus(), sound.servedShare(), sound.responsesByStatus());
        assertEquals(List.of(), sound.violations(), "seed " + seed + " with sound upstreams");
        assertEquals(List.of(), judge.violations(), "seed " + seed);
        assertTrue(judge.responsesByStatus().getOrDefault(200, 0) > 0, "seed " + seed);
    }

    private static StutterJudge play(long seed, StutterSchedule schedule, boolean isSound, Path directory)
            throws Exception {
        directory.toFile().mkdirs();
        try (StutterSite site = StutterSite.start(NODE_COUNT, seed, directory)) {
            site.play(schedule, PHASE_MILLIS, CALLER_COUNT, seed, isSound);
            List<StutterJudge.Violation> violations = site.judge().violations();
            if (!isSound) {
                System.out.println("seed " + seed + ": second responses "
                        + site.upstreams().secondResponses());
            }
            for (StutterJudge.Violation violation :
                    violations.subList(0, Math.min(violations.size(), VIOLATIONS_WITH_HISTORY))) {
                System.out.println("seed " + seed + ": " + violation + "\n  connection "
                        + site.upstreams().historyOf(violation.id()) + logLines(site, violation.id()));
            }
            return site.judge();
        }
    }

    private static String logLines(StutterSite site, String id) throws Exception {
        StringBuilder lines = new StringBuilder();
        for (SoakNode node : site.nodes()) {
            node.process()
                    .output()
                    .lines()
                    .filter(line -> line.contains("\"" + id + "\""))
                    .forEach(line -> lines.append("\n  log ").append(line));
        }
        return lines.toString();
    }

    private static Map<String, Long> kinds(StutterJudge judge, StutterMode mode) {
        return judge.violations().stream()
                .filter(violation -> violation.mode() == mode)
                .collect(Collectors.groupingBy(StutterJudge.Violation::kind, TreeMap::new, Collectors.counting()));
    }
}
