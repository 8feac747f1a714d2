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

/**
 * Simulates one claim shard on the nodes of a {@link DutySimulation}, with dispatchers, and checks that no key is
 * dispatched twice and that the holder's final response for each key fits what happened.
 */
final class ClaimSimulation {
    /** A fault injected to verify that the checker detects it. */
    enum InjectedFault {
        NONE,
        /** The holder grants claims that are not durable. */
        GRANTED_BEFORE_DURABLE,
        /** Dispatchers don't withdraw the claims that they abandoned. */
        NOT_WITHDRAWN,
        /** Dispatchers withdraw claims whose calls they sent. */
        WITHDRAWN_AFTER_DISPATCH
    }

    private static final int KEYS = 8;
    private static final long CLAIM_TIMEOUT_MILLIS = 2_000;
    private static final String BODY = "00";
    private static final CallOutcome PAID = new CallOutcome(200, "text/plain", new byte[] {1}, true);

    private final DutySimulation duties;
    private final InjectedFault injectedFault;
    private final Map<SimulatedNode, ClaimShard> shards = new HashMap<>();
    private final Map<SimulatedNode, List<Attempt>> attempts = new HashMap<>();
    private final Map<SimulatedNode, List<Resolution>> resolutions = new HashMap<>();
    private final Map<ClaimKey, Integer> dispatches = new HashMap<>();
    private final Set<ClaimKey> keysWithDurableOutcome = new HashSet<>();
    private final Set<ClaimKey> abandonedByKill = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private int attemptCount;

    private static final class Attempt {
        private final ClaimKey key;
        private final String name;
        private final long endMillis;
        private Optional<CompletableFuture<HolderResponse>> response = Optional.empty();
        private boolean claimSent;

        Attempt(ClaimKey key, String name, long endMillis) {
            this.key = key;
            this.name = name;
            this.endMillis = endMillis;
        }
    }

    private record Resolution(ClaimKey key, String attempt, Optional<CallOutcome> outcome) {}

    ClaimSimulation(long seed, InjectedFault injectedFault) {
        this.duties = new DutySimulation(seed, 3, Set.of(DutyId.claim(0)));
        this.injectedFault = injectedFault;
        for (SimulatedNode node : duties.nodes()) {
            node.setHooks(() -> onKill(node), () -> startShard(node));
            startShard(node);
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
        checkFinalResponses();
        return this;
    }

    List<String> violations() {
        return violations;
    }

    private void startShard(SimulatedNode node) {
        ClaimServiceDependencies dependencies = new ClaimServiceDependencies(
                DutySimulation.SITE,
                node.self(),
                1,
                injectedFault == InjectedFault.GRANTED_BEFORE_DURABLE
                        ? new WriteDroppingStore(duties.store(), duties::random)
                        : duties.store(),
                node,
                node,
                new NoPeers(),
                node::clockMillis,
                duties::nowMillis);
        shards.put(node, new ClaimShard(dependencies, 0, ClaimQueue.MAXIMUM_BATCH_ENTRIES));
        attempts.put(node, new ArrayList<>());
        resolutions.put(node, new ArrayList<>());
    }

    private void onKill(SimulatedNode node) {
        attempts.get(node).forEach(attempt -> abandonedByKill.add(attempt.key));
        resolutions.get(node).forEach(resolution -> abandonedByKill.add(resolution.key()));
    }

    private void runCurrent() {
        SimulatedNode node = duties.current();
        if (!duties.isHealed() && duties.random().nextInt(3) == 0) {
            attemptCount++;
            ClaimKey key = new ClaimKey("key-" + duties.random().nextInt(KEYS));
            attempts.get(node)
                    .add(new Attempt(key, "attempt-" + attemptCount, node.clockMillis() + CLAIM_TIMEOUT_MILLIS));
        }
        shards.get(node).commit();
        List<Attempt> open = attempts.get(node);
        for (Attempt attempt : new ArrayList<>(open)) {
            if (advance(node, attempt)) {
                open.remove(attempt);
            }
        }
        sendResolutions(node);
    }

    /** Simulates the dispatcher side of {@link ClaimService#claim}. Returns true when the attempt has ended. */
    private boolean advance(SimulatedNode node, Attempt attempt) {
        if (attempt.response.isEmpty()) {
            attempt.response = holder(node).map(holder -> {
                attempt.claimSent = true;
                return shards.get(holder).submit(attempt.key, BODY, attempt.name);
            });
        }
        boolean lost = !duties.isHealed() && duties.random().nextInt(20) == 0;
        if (!lost && attempt.response.isPresent() && attempt.response.get().isDone()) {
            HolderResponse response = attempt.response.get().join();
            attempt.response = Optional.empty();
            if (response.kind() == HolderResponse.Kind.GRANTED) {
                dispatch(node, attempt);
                return true;
            }
            if (response.kind() != HolderResponse.Kind.NOT_OWNER
                    && response.kind() != HolderResponse.Kind.UNAVAILABLE) {
                return true;
            }
        }
        if (node.clockMillis() < attempt.endMillis) {
            return false;
        }
        if (attempt.claimSent && injectedFault != InjectedFault.NOT_WITHDRAWN) {
            resolutions.get(node).add(new Resolution(attempt.key, attempt.name, Optional.empty()));
        }
        return true;
    }

    private void dispatch(SimulatedNode node, Attempt attempt) {
        dispatches.merge(attempt.key, 1, Integer::sum);
        if (injectedFault == InjectedFault.WITHDRAWN_AFTER_DISPATCH) {
            resolutions.get(node).add(new Resolution(attempt.key, attempt.name, Optional.empty()));
        } else if (duties.random().nextInt(4) != 0) {
            resolutions.get(node).add(new Resolution(attempt.key, attempt.name, Optional.of(PAID)));
        }
    }

    private void sendResolutions(SimulatedNode node) {
        Optional<SimulatedNode> holder = holder(node);
        if (holder.isEmpty()) {
            return;
        }
        Iterator<Resolution> next = resolutions.get(node).iterator();
        while (next.hasNext()) {
            Resolution resolution = next.next();
            ClaimShard shard = shards.get(holder.get());
            CompletableFuture<HolderResponse> response = resolution.outcome().isPresent()
                    ? shard.recordOutcome(resolution.key(), resolution.attempt(), PAID)
                    : shard.withdraw(resolution.key(), resolution.attempt());
            boolean lost = !duties.isHealed() && duties.random().nextInt(10) == 0;
            if (!lost && response.isDone() && response.join().kind() == HolderResponse.Kind.GRANTED) {
                if (resolution.outcome().isPresent()) {
                    keysWithDurableOutcome.add(resolution.key());
                }
                next.remove();
            }
        }
    }

    /** Returns the holder according to the node, if the node can reach it. */
    private Optional<SimulatedNode> holder(SimulatedNode node) {
        Optional<DutyHolder> holder = node.holder(DutyId.claim(0));
        return duties.nodes().stream()
                .filter(target -> holder.isPresent()
                        && target.self().incarnation().equals(holder.get().incarnation()))
                .filter(target ->
                        target == node || (!target.isDown() && !target.isPartitioned() && !node.isPartitioned()))
                .findFirst();
    }

    private void checkFinalResponses() {
        SimulatedNode holder = duties.nodes().stream()
                .filter(node ->
                        node.authority(DutyId.claim(0), node.clockMillis()).isPresent())
                .findFirst()
                .orElseThrow();
        for (int i = 0; i < KEYS; i++) {
            ClaimKey key = new ClaimKey("key-" + i);
            CompletableFuture<HolderResponse> response = shards.get(holder).submit(key, BODY, "last-" + i);
            shards.get(holder).commit();
            check(key, response.join().kind());
        }
    }

    private void check(ClaimKey key, HolderResponse.Kind kind) {
        boolean dispatched = dispatches.containsKey(key);
        if (dispatched && kind == HolderResponse.Kind.GRANTED) {
            violations.add(key + " was dispatched and is granted again");
        }
        if (keysWithDurableOutcome.contains(key) && kind != HolderResponse.Kind.REPEATED) {
            violations.add(key + " has a durable outcome and the holder responds " + kind + ", expected REPEATED");
        }
        boolean blocked = !dispatched && !abandonedByKill.contains(key) && kind != HolderResponse.Kind.GRANTED;
        if (blocked) {
            violations.add(key + " was never dispatched and the holder responds " + kind + ", expected GRANTED");
        }
    }
}
