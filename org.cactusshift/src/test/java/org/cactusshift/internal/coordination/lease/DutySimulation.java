package org.cactusshift.internal.coordination.lease;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;
import org.cactusshift.internal.coordination.store.StoreCallKind;
import org.cactusshift.internal.coordination.store.StoreFault;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Simulates nodes that run {@link DutyStateMachine} in virtual time against the in-memory store, with seeded faults.
 *
 * <p>Single-threaded. A pause in the middle of a node's step is simulated as a nested run of all other nodes.
 */
public final class DutySimulation {
    /** The site of all simulated nodes. */
    public static final SiteId SITE = SiteId.fromString("test-site");

    /** The time to live of the leases. */
    public static final long TTL_MILLIS = 6_000;

    private static final int MAXIMUM_NESTED_PAUSES = 2;

    // Turned off because thousands of injected faults would be logged. The strong reference is needed because the log
    // manager holds loggers weakly.
    private static final Logger LOGGER = Logger.getLogger("org.cactusshift.internal.coordination");

    static {
        LOGGER.setLevel(Level.OFF);
    }

    private final Random random;
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final Set<DutyId> duties;
    private final InMemoryKeyValueStore store = InMemoryKeyValueStore.create(this::nowMillis);
    private final Map<DutyId, Long> highestFencingNumberByDuty = new HashMap<>();
    private final Map<StoreCallKind, Long> callsByKind = new EnumMap<>(StoreCallKind.class);
    private final List<String> violations = new ArrayList<>();
    private boolean expiryCountedFromResponse;
    private boolean healed;
    private boolean checking;
    private long nowMillis = 1_000_000;
    private long outageEndsAtMillis;
    private long pauseEndsAtMillis = Long.MAX_VALUE;
    private int incarnations;
    private int nestedPauses;
    private SimulatedNode current;
    private Runnable onNodeRun = () -> {};

    /** Creates nodes that have just started. */
    public DutySimulation(long seed, int nodeCount, Set<DutyId> duties) {
        this.random = new Random(seed);
        this.duties = Set.copyOf(duties);
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new SimulatedNode(this, InstanceId.fromString("node-" + i), nextIncarnation()));
        }
        store.setFaultInjector(this::fault);
    }

    /** Injects a fault: the holder counts the lease expiry from the response instead of from before sending. */
    public DutySimulation injectExpiryFromResponse() {
        expiryCountedFromResponse = true;
        return this;
    }

    /** Sets the hook that runs after each step of a node; {@link #current()} returns that node. */
    public void setOnNodeRun(Runnable run) {
        onNodeRun = run;
    }

    public long nowMillis() {
        return nowMillis;
    }

    public Random random() {
        return random;
    }

    /** Returns whether no faults are injected any more. */
    public boolean isHealed() {
        return healed;
    }

    public InMemoryKeyValueStore store() {
        return store;
    }

    public List<SimulatedNode> nodes() {
        return List.copyOf(nodes);
    }

    /** Returns the number of store calls by kind since the last call of this method. */
    public Map<StoreCallKind, Long> drainCallCounts() {
        Map<StoreCallKind, Long> drained = new EnumMap<>(StoreCallKind.class);
        drained.putAll(callsByKind);
        callsByKind.clear();
        return drained;
    }

    public List<String> violations() {
        return violations;
    }

    /** Returns the node that is currently running. */
    public SimulatedNode current() {
        return current;
    }

    boolean isExpiryCountedFromResponse() {
        return expiryCountedFromResponse;
    }

    IncarnationId nextIncarnation() {
        incarnations++;
        return IncarnationId.fromString("start-" + incarnations);
    }

    Set<DutyId> duties() {
        return duties;
    }

    Set<InstanceId> members() {
        return nodes.stream()
                .filter(node -> !node.isDown())
                .map(SimulatedNode::instance)
                .collect(Collectors.toSet());
    }

    /** Runs steps with injected faults. */
    public void run(int steps) {
        for (int i = 0; i < steps; i++) {
            injectFault();
            step();
        }
    }

    /** Ends all faults, restarts killed nodes and runs further steps. */
    public void heal(int steps) {
        nodes.forEach(SimulatedNode::heal);
        runWithoutFaults(steps);
    }

    /** Runs steps without faults; killed nodes stay down. */
    public void runWithoutFaults(int steps) {
        healed = true;
        outageEndsAtMillis = 0;
        store.applyDelayed();
        for (int i = 0; i < steps; i++) {
            step();
        }
    }

    private void step() {
        // A step takes up to 400 ms.
        nowMillis += 1 + random.nextInt(400);
        if (random.nextInt(4) == 0) {
            store.applyDelayed();
        }
        for (SimulatedNode node : nodes) {
            runNode(node);
        }
        check();
    }

    private void runNode(SimulatedNode node) {
        if (node.isDown()) {
            return;
        }
        SimulatedNode previous = current;
        current = node;
        node.run();
        onNodeRun.run();
        current = previous;
    }

    /**
     * Pauses the running node in the middle of its step, with a probability of 1 in 40 and for up to 15 s, which is
     * longer than twice the time to live; the other nodes continue.
     */
    public void maybePauseMidStep() {
        if (healed || nestedPauses >= MAXIMUM_NESTED_PAUSES || random.nextInt(40) != 0) {
            return;
        }
        pauseMidStep(random.nextInt(15_000));
    }

    /**
     * Pauses the running node in the middle of its step; the other nodes continue. A nested pause ends with the outer
     * one.
     */
    public void pauseMidStep(long durationMillis) {
        SimulatedNode paused = current;
        long outerEndMillis = pauseEndsAtMillis;
        long endMillis = Math.min(nowMillis + durationMillis, outerEndMillis);
        pauseEndsAtMillis = endMillis;
        nestedPauses++;
        paused.setPausedMidStep(true);
        while (nowMillis < endMillis) {
            step();
        }
        paused.setPausedMidStep(false);
        pauseEndsAtMillis = outerEndMillis;
        nestedPauses--;
        current = paused;
    }

    private void injectFault() {
        int percentile = random.nextInt(100);
        SimulatedNode node = nodes.get(random.nextInt(nodes.size()));
        // Up to 15 s, so that leases can expire during the fault.
        long untilMillis = nowMillis + random.nextInt(15_000);
        if (percentile < 2) {
            node.kill();
        } else if (percentile < 5) {
            node.restart();
        } else if (percentile < 8) {
            node.pauseUntil(untilMillis);
        } else if (percentile < 11) {
            node.partitionUntil(untilMillis);
        } else if (percentile < 12) {
            outageEndsAtMillis = untilMillis;
        }
    }

    private StoreFault fault(StoreCallKind kind, String key) {
        if (!checking) {
            callsByKind.merge(kind, 1L, Long::sum);
        }
        if (healed || checking) {
            return StoreFault.NONE;
        }
        if (current != null) {
            maybePauseMidStep();
        }
        if (nowMillis < outageEndsAtMillis || (current != null && current.isPartitioned())) {
            return random.nextBoolean() ? StoreFault.UNAVAILABLE : StoreFault.LOSE_REQUEST;
        }
        int percentile = random.nextInt(100);
        if (percentile < 3) {
            return StoreFault.LOSE_ANSWER;
        }
        if (percentile < 5) {
            return StoreFault.DELAY_EFFECT;
        }
        return percentile < 7 ? StoreFault.LOSE_REQUEST : StoreFault.NONE;
    }

    /** Checks that each authority is backed by the duty's key in the store, which only one node can have written. */
    private void check() {
        store.expireLeases();
        Map<String, VersionedValue> keys = new HashMap<>();
        checking = true;
        store.list(DutyId.keyPrefix(SITE)).get().values().forEach(value -> keys.put(value.key(), value));
        checking = false;
        for (DutyId duty : duties) {
            Map<SimulatedNode, Long> fencingNumberByHolder = new LinkedHashMap<>();
            for (SimulatedNode node : nodes) {
                // A paused process still has its authority, but checks its clock before it acts on it.
                node.authority(duty, node.clockMillis())
                        .ifPresent(authority -> fencingNumberByHolder.put(node, authority.fencingNumber()));
            }
            checkDuty(duty, fencingNumberByHolder, Optional.ofNullable(keys.get(duty.key(SITE))));
        }
    }

    private void checkDuty(DutyId duty, Map<SimulatedNode, Long> fencingNumberByHolder, Optional<VersionedValue> key) {
        if (fencingNumberByHolder.size() > 1) {
            violations.add(nowMillis + ": " + duty + " is held by " + fencingNumberByHolder);
        }
        for (Map.Entry<SimulatedNode, Long> holder : fencingNumberByHolder.entrySet()) {
            boolean backed = key.isPresent() && key.get().createRevision() == holder.getValue();
            if (!backed) {
                violations.add(nowMillis + ": " + duty + " is held without its key by " + holder);
            }
            long highest = highestFencingNumberByDuty.merge(duty, holder.getValue(), Math::max);
            if (highest > holder.getValue()) {
                violations.add(nowMillis + ": " + duty + " went back to fencing number " + holder.getValue());
            }
        }
    }
}
