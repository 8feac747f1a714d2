package org.cactusshift.systemtest;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** What a seed draws: the order of the modes, how many upstreams stutter, and what happens to nodes meanwhile. */
record StutterSchedule(List<Phase> phases, List<Disturbance> disturbances) {
    /** A time in which some upstreams of each service write second responses. */
    record Phase(StutterMode mode, int stuttering) {
        @Override
        public String toString() {
            return mode + " at " + stuttering;
        }
    }

    /** What happens to the nodes. */
    enum DisturbanceKind {
        /** A node gets SIGTERM; when it has ended, it starts again. */
        RESTART,
        /** The next version of the configuration is published. */
        CONFIG_CHANGE,
        /** The links of a node to all upstreams hang. */
        LINKS_HANG,
        /** The links of a node to all upstreams are reset. */
        LINKS_RESET
    }

    /** Something that happens to a node, from a time after the start of the play on. */
    record Disturbance(DisturbanceKind kind, int node, long startMillis, long durationMillis) {
        @Override
        public String toString() {
            return kind + " node " + node + " " + startMillis + "+" + durationMillis;
        }
    }

    static StutterSchedule draw(long seed, int nodes, long phaseMillis) {
        Random random = new Random(seed);
        List<StutterMode> modes = new ArrayList<>(Arrays.asList(StutterMode.values()));
        Collections.shuffle(modes, random);
        List<Phase> phases = new ArrayList<>();
        for (StutterMode mode : modes) {
            phases.add(new Phase(mode, 1 + random.nextInt(StutterUpstreams.UPSTREAMS_PER_SERVICE)));
        }
        long total = phaseMillis * modes.size();
        List<Disturbance> disturbances = new ArrayList<>();
        for (DisturbanceKind kind : DisturbanceKind.values()) {
            int count = 1 + (kind == DisturbanceKind.CONFIG_CHANGE ? 2 : 0);
            for (int i = 0; i < count; i++) {
                long startMillis = (long) (random.nextDouble() * total * 0.8);
                disturbances.add(
                        new Disturbance(kind, random.nextInt(nodes), startMillis, 500 + random.nextInt(1_500)));
            }
        }
        return new StutterSchedule(phases, disturbances);
    }

    @Override
    public String toString() {
        return "modes " + phases + ", nodes " + disturbances;
    }
}
