package org.cactusshift.internal.coordination.usage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.internal.coordination.lease.DutySimulation;
import org.cactusshift.internal.coordination.lease.SimulatedNode;
import org.cactusshift.internal.coordination.lease.WriteDroppingStore;
import org.cactusshift.messages.UsageAck;
import org.cactusshift.messages.UsageBatch;

/**
 * Simulates one usage shard on the nodes of a {@link DutySimulation}, with a usage interface whose history is checked.
 */
final class UsageSimulation {
    static final long WINDOW_MILLIS = 5_000;
    static final long HAND_OVER_MILLIS = 1_000;

    /** A fault injected to verify that the checker detects it. */
    enum InjectedFault {
        NONE,
        /** The node removes a batch when it is accepted instead of when it is durable. */
        ACKNOWLEDGED_BEFORE_DURABLE,
        /** The holder can't recognize a duplicate batch. */
        DUPLICATES_NOT_RECOGNIZED,
        /** The holder reports windows that it did not store. */
        REPORTED_BEFORE_DURABLE
    }

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final UsageKey KEY = new UsageKey(AccountId.fromString("acme"), ServiceId.fromString("share-lm"));

    private final DutySimulation duties;
    private final InjectedFault injectedFault;
    private final Map<SimulatedNode, UsageShard> shardByNode = new HashMap<>();
    private final Map<SimulatedNode, Long> notDurableTokensByNode = new HashMap<>();
    private final Map<String, String> reportByWindow = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private long recordedTokens;
    private long possiblyLostTokens;
    private long streams;

    UsageSimulation(long seed, InjectedFault injectedFault) {
        this.duties = new DutySimulation(seed, 3, Set.of(DutyId.usage(0)));
        this.injectedFault = injectedFault;
        for (SimulatedNode node : duties.nodes()) {
            node.setHooks(() -> onKill(node), () -> startIncarnation(node));
            startIncarnation(node);
        }
        duties.setOnNodeRun(this::runCurrent);
    }

    UsageSimulation run(int steps, int healingSteps) {
        duties.run(steps);
        duties.heal(healingSteps);
        violations.addAll(duties.violations());
        checkSums();
        return this;
    }

    List<String> violations() {
        return violations;
    }

    private void startIncarnation(SimulatedNode node) {
        notDurableTokensByNode.put(node, 0L);
        UsageServiceDependencies dependencies = new UsageServiceDependencies(
                DutySimulation.SITE,
                node.self(),
                new UsageShards(1),
                WINDOW_MILLIS,
                HAND_OVER_MILLIS,
                injectedFault == InjectedFault.REPORTED_BEFORE_DURABLE
                        ? new WriteDroppingStore(duties.store(), duties::random)
                        : duties.store(),
                node,
                node,
                (holder, batch) -> deliver(holder, withInjectedFault(batch)),
                this::report,
                node::clockMillis,
                duties::nowMillis);
        shardByNode.put(node, new UsageShard(dependencies, 0, new UsageCounters()));
    }

    private void onKill(SimulatedNode node) {
        possiblyLostTokens += notDurableTokensByNode.get(node);
    }

    private void runCurrent() {
        SimulatedNode node = duties.current();
        UsageShard shard = shardByNode.get(node);
        if (!duties.isHealed() && duties.random().nextInt(3) == 0) {
            long tokens = 1 + duties.random().nextInt(50);
            recordedTokens += tokens;
            notDurableTokensByNode.merge(node, tokens, Long::sum);
            shard.add(KEY, UsageTotals.onTime(tokens, 0, 1), duties.nowMillis());
        }
        if (duties.isHealed() || duties.random().nextInt(2) == 0) {
            shard.runCycle();
        }
        if (shard.isAllDurable()) {
            notDurableTokensByNode.put(node, 0L);
        }
    }

    private UsageBatch withInjectedFault(UsageBatch batch) {
        if (injectedFault != InjectedFault.DUPLICATES_NOT_RECOGNIZED) {
            return batch;
        }
        streams++;
        return batch.toBuilder()
                .setSequence(1)
                .setSender(
                        batch.getSender().toBuilder().setIncarnationId("stream-" + streams + ":" + duties.nowMillis()))
                .build();
    }

    private Either<Failure, UsageAck> deliver(DutyHolder holder, UsageBatch batch) {
        duties.maybePauseMidStep();
        SimulatedNode target = duties.nodes().stream()
                .filter(node -> node.self().incarnation().equals(holder.incarnation()))
                .findFirst()
                .orElse(null);
        boolean reachable = target != null
                && !target.isDown()
                && !target.isPartitioned()
                && !duties.current().isPartitioned();
        if (!reachable) {
            return Either.left(Failure.unknownEffect("hand over usage", holder.peerAddress(), "unreachable"));
        }
        UsageAck ack = shardByNode.get(target).accept(batch);
        if (!duties.isHealed() && duties.random().nextInt(10) == 0) {
            return Either.left(Failure.unknownEffect("hand over usage", holder.peerAddress(), "response lost"));
        }
        boolean acknowledgesEarly = injectedFault == InjectedFault.ACKNOWLEDGED_BEFORE_DURABLE && ack.getAccepted();
        return Either.right(
                acknowledgesEarly
                        ? ack.toBuilder().setSequence(batch.getSequence()).build()
                        : ack);
    }

    private Either<Failure, UsageReporter.Receipt> report(SealedWindow window) {
        duties.maybePauseMidStep();
        String before = reportByWindow.putIfAbsent(window.window(), window.report());
        if (before != null && !before.equals(window.report())) {
            violations.add("window " + window.window() + " was reported with different counts");
            return Either.right(UsageReporter.Receipt.CONFLICT);
        }
        if (!duties.isHealed() && duties.random().nextInt(10) == 0) {
            return Either.left(Failure.unknownEffect("report usage", "usage interface", "response lost"));
        }
        return Either.right(UsageReporter.Receipt.RECORDED);
    }

    private void checkSums() {
        long billed = reportByWindow.values().stream()
                .mapToLong(UsageSimulation::tokens)
                .sum();
        if (billed > recordedTokens) {
            violations.add("billed " + billed + " of " + recordedTokens + " tokens");
        }
        if (billed < recordedTokens - possiblyLostTokens) {
            violations.add(
                    "billed " + billed + " of " + recordedTokens + " tokens, " + possiblyLostTokens + " may be lost");
        }
    }

    private static long tokens(String report) {
        try {
            long tokens = 0;
            for (JsonNode count : MAPPER.readTree(report).get("counts")) {
                tokens += count.get("prompt_tokens").asLong()
                        + count.get("late_prompt_tokens").asLong();
            }
            return tokens;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
