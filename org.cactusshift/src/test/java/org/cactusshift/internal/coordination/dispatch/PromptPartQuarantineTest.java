package org.cactusshift.internal.coordination.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.RequestId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PromptPartQuarantineTest {
    private static final long SHARED_PART = 1;
    private static final long CRASHING_PART = 2;
    private static final long OTHER_PART = 3;
    private static final int ROUNDS = 30;

    private int requests;

    private static ServiceDispatcher dispatcher(String node) {
        ServiceDispatcher dispatcher = ServiceDispatcher.create(
                new DispatcherOptions(IncarnationId.fromString(node), ServiceConfig.Kind.MODEL, 100, 0.2),
                new Random(DispatchFixture.SEED));
        dispatcher.onConfig(List.of(DispatchFixture.account("fonds", 1)), DispatchFixture.upstreams(20), 0);
        return dispatcher;
    }

    /** Returns a request that differs from all others in its id and its fingerprint. */
    private DispatchRequest request(long middlePart) {
        requests++;
        DispatchRequest template = DispatchFixture.request("r" + requests, "fonds", 10_000_000, false);
        return new DispatchRequest(
                RequestId.fromString("r" + requests),
                template.account(),
                template.service(),
                template.promptTokens(),
                template.maximumOutputTokens(),
                template.prefixHashes(),
                template.deadlineMillis(),
                template.repeatable(),
                List.of(SHARED_PART, middlePart),
                requests);
    }

    private static void exchange(List<ServiceDispatcher> nodes, long nowMillis) {
        for (ServiceDispatcher sender : nodes) {
            PromptPartQuarantine quarantine = sender.promptPartQuarantine().orElseThrow();
            for (ServiceDispatcher receiver : nodes) {
                if (receiver != sender) {
                    receiver.promptPartQuarantine().orElseThrow().onReports(quarantine.reports(nowMillis), nowMillis);
                }
            }
        }
    }

    private static Optional<DispatchDecision.Dispatch> submit(
            ServiceDispatcher dispatcher, DispatchRequest request, long nowMillis) {
        return dispatcher.submit(request, nowMillis).stream()
                .filter(DispatchDecision.Dispatch.class::isInstance)
                .map(DispatchDecision.Dispatch.class::cast)
                .findFirst();
    }

    private void completeSoundRequest(ServiceDispatcher node, long nowMillis) {
        DispatchDecision.Dispatch sound =
                submit(node, request(OTHER_PART + requests), nowMillis).orElseThrow();
        node.onAttemptEnd(sound.attempt(), new AttemptEnd(AttemptEnd.Outcome.COMPLETED, 100, 9), nowMillis + 100);
    }

    /** Guards against requests with one part in common, no two alike, that crash engine after engine. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 8})
    void partThatCrashesEnginesIsRefusedAtAllNodesAndSoundRequestsAreServed(int nodeCount) {
        List<ServiceDispatcher> nodes = new ArrayList<>();
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(dispatcher("n" + i));
        }
        int crashes = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long now = 1_000L * round;
            ServiceDispatcher node = nodes.get(round % nodeCount);
            Optional<DispatchDecision.Dispatch> crashing = submit(node, request(CRASHING_PART), now);
            if (crashing.isPresent()) {
                crashes++;
                node.onAttemptEnd(
                        crashing.get().attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0), now + 100);
            }
            for (ServiceDispatcher each : nodes) {
                completeSoundRequest(each, now + 200);
            }
            exchange(nodes, now + 500);
        }
        assertEquals(3, crashes);
        DispatchDecision.Refuse refusal = DispatchFixture.refused(nodes.get(0).submit(request(CRASHING_PART), 30_000));
        assertEquals(DispatchDecision.Reason.QUARANTINED, refusal.reason());
        assertFalse(refusal.mayHaveRun());
    }

    /** A node that was out of touch or started later refuses the part as soon as it hears of it, from any node. */
    @Test
    void nodeThatStartsLaterRefusesThePart() {
        List<ServiceDispatcher> nodes = List.of(dispatcher("n1"), dispatcher("n2"));
        for (int i = 0; i < 3; i++) {
            DispatchDecision.Dispatch crashing =
                    submit(nodes.get(0), request(CRASHING_PART), 1_000L * i).orElseThrow();
            nodes.get(0)
                    .onAttemptEnd(
                            crashing.attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0), 1_000L * i + 100);
            completeSoundRequest(nodes.get(0), 1_000L * i + 200);
        }
        exchange(nodes, 3_000);
        ServiceDispatcher late = dispatcher("n3");
        exchange(List.of(nodes.get(1), late), 60_000);
        assertTrue(submit(late, request(CRASHING_PART), 60_001).isEmpty());
        assertTrue(submit(late, request(OTHER_PART), 60_002).isPresent());
    }
}
