package org.cactusshift.internal.coordination.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.internal.coordination.store.StorePosition;

/**
 * A random schedule in virtual time: engines of changing versions join, leave, go on serving after their entries are
 * gone and lose their entries for a moment; nodes read the store late, are cut off from it, suspended and killed;
 * writes are applied late; streams begin and are taken up at any node.
 */
final class StreamVersionSchedule {
    /** What is done wrong. */
    enum Fault {
        NONE,
        /** Streams begin at versions that are not recorded. */
        BEGINS_UNRECORDED,
        /** The record is not read again for a stream that is taken up. */
        STALE_RECORD,
        /** Records are written whatever their revision. */
        UNCONDITIONAL_WRITES,
        /** A retired version is removed at once. */
        NO_RETENTION
    }

    private static final ServiceId SERVICE = ServiceId.fromString("lm");
    private static final long STEP_MILLIS = 100;
    private static final long ERA = 1;
    private static final long LENGTH_MILLIS = 240_000;

    /** How long an engine goes on serving after its entry is gone, at most. */
    private static final int AFTERLIFE_MILLIS = 15_000;

    /** The time from the beginning of a stream until it is taken up, at most. */
    private static final int STREAM_MILLIS = 10_000;

    private final SplittableRandom random;
    private final Fault fault;
    private final List<Engine> engines = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final List<Stream> streams = new ArrayList<>();
    private final List<LateWrite> lateWrites = new ArrayList<>();
    private StreamVersions stored = StreamVersions.NONE;
    private long storedRevision;
    private long revision = 1;
    private int version = 1;
    private long now;
    private long joined;
    private long goneOn;
    private long takenUp;

    private StorePosition storedPosition() {
        return new StorePosition(ERA, storedRevision);
    }

    private static final class Engine {
        private SoftwareVersion version;
        private boolean listed = true;
        private long listedAgainAtMillis = Long.MAX_VALUE;
        private long endMillis = Long.MAX_VALUE;
    }

    private static final class Node {
        private StreamVersionPlanner planner = StreamVersionPlanner.create();
        private List<Engine> listed = List.of();
        private long nextReadMillis;
        private long cutUntilMillis;
        private long suspendedUntilMillis;
        private long suspendedMillis;
        private boolean retires;
    }

    private record Stream(SoftwareVersion version, long takenUpAtMillis) {}

    private record LateWrite(StreamVersions versions, long expectedRevision, long appliedAtMillis) {}

    private StreamVersionSchedule(long seed, Fault fault) {
        this.random = new SplittableRandom(seed);
        this.fault = fault;
    }

    /** Plays the schedule of a seed. */
    static StreamVersionSchedule play(long seed, Fault fault) {
        StreamVersionSchedule schedule = new StreamVersionSchedule(seed, fault);
        schedule.play();
        return schedule;
    }

    long joined() {
        return joined;
    }

    long goneOn() {
        return goneOn;
    }

    long takenUp() {
        return takenUp;
    }

    private void play() {
        int nodeCount = 2 + random.nextInt(6);
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new Node());
        }
        for (int i = 0; i < 4; i++) {
            startEngine();
        }
        for (now = 0; now < LENGTH_MILLIS; now += STEP_MILLIS) {
            changeEngines();
            disturbNodes();
            applyLateWrites();
            nodes.forEach(this::run);
            beginStream();
            takeUpStreams();
        }
    }

    private boolean happens(double perSecond) {
        return random.nextDouble() < perSecond * STEP_MILLIS / 1_000;
    }

    private void startEngine() {
        Engine engine = new Engine();
        engine.version = SoftwareVersion.fromString("v" + version);
        engines.add(engine);
    }

    private void changeEngines() {
        engines.removeIf(engine -> engine.endMillis <= now);
        if (happens(0.02)) {
            // A release: each engine is replaced by one of the next version, or an earlier version returns.
            version = random.nextInt(4) == 0 ? Math.max(1, version - 1) : version + 1;
            List.copyOf(engines).forEach(this::remove);
            for (int i = 0; i < 4; i++) {
                startEngine();
            }
        } else if (happens(0.05)) {
            startEngine();
            remove(engines.get(random.nextInt(engines.size())));
        }
        for (Engine engine : engines) {
            if (engine.endMillis == Long.MAX_VALUE && engine.listed && happens(0.005)) {
                engine.listed = false;
                engine.listedAgainAtMillis = now + random.nextInt(5_000);
            } else if (engine.listedAgainAtMillis <= now) {
                engine.listed = true;
                engine.listedAgainAtMillis = Long.MAX_VALUE;
            }
        }
    }

    private void remove(Engine engine) {
        if (engine.endMillis == Long.MAX_VALUE) {
            engine.listed = false;
            engine.listedAgainAtMillis = Long.MAX_VALUE;
            engine.endMillis = now + random.nextInt(AFTERLIFE_MILLIS);
        }
    }

    private void disturbNodes() {
        boolean allAreKilled = happens(0.02);
        for (Node node : nodes) {
            if (allAreKilled || happens(0.01)) {
                node.planner = StreamVersionPlanner.create();
                node.listed = List.of();
                node.nextReadMillis = now + 500;
            }
            if (happens(0.02)) {
                node.cutUntilMillis = now + random.nextInt(30_000);
            }
            if (happens(0.02)) {
                int millis = random.nextInt(8_000);
                node.suspendedUntilMillis = now + millis;
                node.suspendedMillis += millis;
            }
        }
        if (happens(0.1)) {
            // The former holder of the duty may take itself for the holder still.
            nodes.get(random.nextInt(nodes.size())).retires = true;
            nodes.get(random.nextInt(nodes.size())).retires = false;
        }
    }

    private void run(Node node) {
        if (node.suspendedUntilMillis > now || node.cutUntilMillis > now || node.nextReadMillis > now) {
            return;
        }
        node.nextReadMillis = now + 300 + random.nextInt(900);
        node.listed = engines.stream().filter(engine -> engine.listed).toList();
        node.planner.onRecorded(stored, storedPosition());
        Set<SoftwareVersion> versions =
                node.listed.stream().map(engine -> engine.version).collect(Collectors.toSet());
        node.planner
                .next(Map.of(SERVICE, versions), node.retires, now - node.suspendedMillis)
                .ifPresent(next -> write(node, next));
        if (fault == Fault.NO_RETENTION) {
            removeRetired();
        }
    }

    private void write(Node node, StreamVersions next) {
        if (random.nextInt(5) == 0) {
            lateWrites.add(new LateWrite(next, node.planner.position().revision(), now + random.nextInt(6_000)));
        } else if (apply(next, node.planner.position().revision())) {
            node.planner.onRecorded(next, storedPosition());
        } else {
            node.planner.onRecorded(stored, storedPosition());
        }
    }

    private boolean apply(StreamVersions next, long expectedRevision) {
        if (expectedRevision != storedRevision && fault != Fault.UNCONDITIONAL_WRITES) {
            return false;
        }
        stored = next;
        storedRevision = ++revision;
        return true;
    }

    private void applyLateWrites() {
        lateWrites.removeIf(write -> {
            boolean isDue = write.appliedAtMillis() <= now;
            if (isDue) {
                apply(write.versions(), write.expectedRevision());
            }
            return isDue;
        });
    }

    private void removeRetired() {
        Map<SoftwareVersion, StreamVersions.Use> serving = new HashMap<>(stored.of(SERVICE));
        if (serving.values().removeIf(use -> use == StreamVersions.Use.RETIRED)) {
            apply(new StreamVersions(Map.of(SERVICE, serving)), storedRevision);
        }
    }

    private void beginStream() {
        Node node = nodes.get(random.nextInt(nodes.size()));
        if (node.suspendedUntilMillis > now || node.listed.isEmpty()) {
            return;
        }
        Engine engine = node.listed.get(random.nextInt(node.listed.size()));
        boolean mayBegin = node.planner.recorded().mayBegin(SERVICE, engine.version);
        if (engine.endMillis > now && (mayBegin || fault == Fault.BEGINS_UNRECORDED)) {
            streams.add(new Stream(engine.version, now + random.nextInt(STREAM_MILLIS)));
        }
    }

    private void takeUpStreams() {
        streams.removeIf(stream -> {
            boolean isDue = stream.takenUpAtMillis() <= now;
            if (isDue) {
                takeUp(stream);
            }
            return isDue;
        });
    }

    private void takeUp(Stream stream) {
        Node node = nodes.get(random.nextInt(nodes.size()));
        if (node.suspendedUntilMillis > now) {
            return;
        }
        takenUp++;
        boolean readsStore = fault != Fault.STALE_RECORD;
        if (readsStore && node.cutUntilMillis > now) {
            return;
        }
        StreamVersions versions = readsStore ? stored : node.planner.recorded();
        Optional<SoftwareVersion> sole = versions.sole(SERVICE);
        if (sole.isPresent()) {
            goneOn++;
            joined += sole.get().equals(stream.version()) ? 0 : 1;
        }
    }
}
