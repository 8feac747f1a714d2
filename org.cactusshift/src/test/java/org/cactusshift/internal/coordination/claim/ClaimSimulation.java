package org.cactusshift.internal.coordination.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.DutySimulation;
import org.cactusshift.internal.coordination.lease.SimulatedNode;
import org.cactusshift.internal.coordination.lease.WriteDroppingStore;

/** One claim shard on the nodes of a {@link DutySimulation}, with dispatchers and a checker of their history. */
final class ClaimSimulation {
    /** A fault planted so that a checker has something to catch. */
    enum InjectedFault {
        NONE,
        /** The owner grants claims that it did not store. */
        GRANTED_BEFORE_DURABLE,
        /** Dispatchers don't withdraw the claims that they gave up. */
        NOT_WITHDRAWN,
        /** Dispatchers withdraw claims whose calls they sent. */
        WITHDRAWN_AFTER_DISPATCH
    }

    private static final int KEYS = 8;
    private static final long PATIENCE_MILLIS = 2_000;
    private static final String BODY = "00";
    private static final CallOutcome PAID = new CallOutcome(200, "text/plain", new byte[] {1}, true);

    private final DutySimulation duties;
    private final InjectedFault plant;
    private final Map<SimulatedNode, ClaimShard> shards = new HashMap<>();
    private final Map<SimulatedNode, List<Attempt>> attempts = new HashMap<>();
    private final Map<SimulatedNode, List<Settlement>> settlements = new HashMap<>();
    private final Map<ClaimKey, Integer> dispatches = new HashMap<>();
    private final Set<ClaimKey> settled = new HashSet<>();
    private final Set<ClaimKey> abandonedByKill = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private int lastAttempt;

    private static final class Attempt {
        private final ClaimKey key;
        private final String name;
        private final long endMillis;
        private Optional<CompletableFuture<OwnerResponse>> answer = Optional.empty();
        private boolean asked;

        Attempt(ClaimKey key, String name, long endMillis) {
            this.key = key;
            this.name = name;
            this.endMillis = endMillis;
        }
    }

    private record Settlement(ClaimKey key, String attempt, Optional<CallOutcome> outcome) {}

    ClaimSimulation(long seed, InjectedFault plant) {
        this.duties = new DutySimulation(seed, 3, Set.of(DutyId.claim(0)));
        this.plant = plant;
        for (SimulatedNode node : duties.nodes()) {
            node.setHooks(() -> onKill(node), () -> begin(node));
            begin(node);
        }
        duties.setOnNodeRun(this::runCurrent);
    }

    ClaimSimulation run(int steps, int healingSteps) {
        duties.run(steps);
        duties.heal(healingSteps);
        violations.addAll(duties.violations());
        dispatches.forEach((key, count) -> {
            if (count > 1) {
                violations.add(key + " was dispatched " + count + " times");
            }
        });
        checkFinalAnswers();
        return this;
    }

    List<String> violations() {
        return violations;
    }

    private void begin(SimulatedNode node) {
        ClaimServiceDependencies setup = new ClaimServiceDependencies(
                DutySimulation.SITE,
                node.self(),
                1,
                plant == InjectedFault.GRANTED_BEFORE_DURABLE
                        ? new WriteDroppingStore(duties.store(), duties::random)
                        : duties.store(),
                node,
                node,
                new NoPeers(),
                node::clockMillis,
                duties::nowMillis);
        shards.put(node, new ClaimShard(setup, 0, ClaimQueue.MAXIMUM_BATCH_LINES));
        attempts.put(node, new ArrayList<>());
        settlements.put(node, new ArrayList<>());
    }

    private void onKill(SimulatedNode node) {
        attempts.get(node).forEach(attempt -> abandonedByKill.add(attempt.key));
        settlements.get(node).forEach(settlement -> abandonedByKill.add(settlement.key()));
    }

    private void runCurrent() {
        SimulatedNode node = duties.current();
        if (!duties.isHealed() && duties.random().nextInt(3) == 0) {
            lastAttempt++;
            ClaimKey key = new ClaimKey("key-" + duties.random().nextInt(KEYS));
            attempts.get(node).add(new Attempt(key, "attempt-" + lastAttempt, node.clockMillis() + PATIENCE_MILLIS));
        }
        shards.get(node).commit();
        List<Attempt> open = attempts.get(node);
        for (Attempt attempt : new ArrayList<>(open)) {
            if (advance(node, attempt)) {
                open.remove(attempt);
            }
        }
        settle(node);
    }

    /** Does what a dispatcher does in {@link ClaimService#claim}; true when the attempt has ended. */
    private boolean advance(SimulatedNode node, Attempt attempt) {
        if (attempt.answer.isEmpty()) {
            attempt.answer = owner(node).map(owner -> {
                attempt.asked = true;
                return shards.get(owner).submit(attempt.key, BODY, attempt.name);
            });
        }
        boolean lost = !duties.isHealed() && duties.random().nextInt(20) == 0;
        if (!lost && attempt.answer.isPresent() && attempt.answer.get().isDone()) {
            OwnerResponse answer = attempt.answer.get().join();
            attempt.answer = Optional.empty();
            if (answer.kind() == OwnerResponse.Kind.GRANTED) {
                dispatch(node, attempt);
                return true;
            }
            if (answer.kind() != OwnerResponse.Kind.NOT_OWNER && answer.kind() != OwnerResponse.Kind.UNAVAILABLE) {
                return true;
            }
        }
        if (node.clockMillis() < attempt.endMillis) {
            return false;
        }
        if (attempt.asked && plant != InjectedFault.NOT_WITHDRAWN) {
            settlements.get(node).add(new Settlement(attempt.key, attempt.name, Optional.empty()));
        }
        return true;
    }

    private void dispatch(SimulatedNode node, Attempt attempt) {
        dispatches.merge(attempt.key, 1, Integer::sum);
        if (plant == InjectedFault.WITHDRAWN_AFTER_DISPATCH) {
            settlements.get(node).add(new Settlement(attempt.key, attempt.name, Optional.empty()));
        } else if (duties.random().nextInt(4) != 0) {
            settlements.get(node).add(new Settlement(attempt.key, attempt.name, Optional.of(PAID)));
        }
    }

    private void settle(SimulatedNode node) {
        Optional<SimulatedNode> owner = owner(node);
        if (owner.isEmpty()) {
            return;
        }
        Iterator<Settlement> next = settlements.get(node).iterator();
        while (next.hasNext()) {
            Settlement settlement = next.next();
            ClaimShard shard = shards.get(owner.get());
            CompletableFuture<OwnerResponse> answer = settlement.outcome().isPresent()
                    ? shard.record(settlement.key(), settlement.attempt(), PAID)
                    : shard.withdraw(settlement.key(), settlement.attempt());
            boolean lost = !duties.isHealed() && duties.random().nextInt(10) == 0;
            if (!lost && answer.isDone() && answer.join().kind() == OwnerResponse.Kind.GRANTED) {
                if (settlement.outcome().isPresent()) {
                    settled.add(settlement.key());
                }
                next.remove();
            }
        }
    }

    /** Returns the owner that the node knows, if it can be reached. */
    private Optional<SimulatedNode> owner(SimulatedNode node) {
        Optional<DutyHolder> holder = node.holder(DutyId.claim(0));
        return duties.nodes().stream()
                .filter(target -> holder.isPresent()
                        && target.self().incarnation().equals(holder.get().incarnation()))
                .filter(target ->
                        target == node || (!target.isDown() && !target.isPartitioned() && !node.isPartitioned()))
                .findFirst();
    }

    private void checkFinalAnswers() {
        SimulatedNode owner = duties.nodes().stream()
                .filter(node ->
                        node.authority(DutyId.claim(0), node.clockMillis()).isPresent())
                .findFirst()
                .orElseThrow();
        for (int i = 0; i < KEYS; i++) {
            ClaimKey key = new ClaimKey("key-" + i);
            CompletableFuture<OwnerResponse> answer = shards.get(owner).submit(key, BODY, "last-" + i);
            shards.get(owner).commit();
            check(key, answer.join().kind());
        }
    }

    private void check(ClaimKey key, OwnerResponse.Kind kind) {
        boolean dispatched = dispatches.containsKey(key);
        if (dispatched && kind == OwnerResponse.Kind.GRANTED) {
            violations.add(key + " was dispatched and is granted again");
        }
        if (settled.contains(key) && kind != OwnerResponse.Kind.REPEATED) {
            violations.add(key + " has a durable outcome and answers " + kind);
        }
        boolean blocked = !dispatched && !abandonedByKill.contains(key) && kind != OwnerResponse.Kind.GRANTED;
        if (blocked) {
            violations.add(key + " was never dispatched and answers " + kind);
        }
    }
}
