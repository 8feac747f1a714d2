package org.cactusshift.internal.coordination.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.UpstreamId;

/** Drives a dispatcher with random requests and attempt ends, and checks its invariants. */
class ServiceDispatcherPropertyTest {
    private static final AttemptEnd.Outcome[] OUTCOMES = AttemptEnd.Outcome.values();

    private final Map<String, DispatchRequest> requestById = new HashMap<>();
    private final Map<String, Integer> possibleRunsByRequest = new HashMap<>();
    private final Set<String> finished = new HashSet<>();
    private final Map<AttemptId, DispatchDecision.Dispatch> openDispatchByAttempt = new HashMap<>();
    private int dispatches;

    @Property(tries = 150, seed = "20261203")
    void runsNonRepeatableRequestsAtMostOnce(@ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int upstreams) {
        drive(ServiceConfig.Kind.PLAIN, seed, upstreams, false);
        possibleRunsByRequest.forEach((id, runs) -> assertTrue(runs <= 1, id + " may have run " + runs + " times"));
    }

    @Property(tries = 150, seed = "20261203")
    void endsEveryRequestOnceAndWithinTheRetryBudget(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int upstreams) {
        ServiceDispatcher dispatcher = drive(ServiceConfig.Kind.MODEL, seed, upstreams, true);
        // A time after all deadlines. The decisions of this tick are checked only by the sums below.
        dispatcher.onTick(10_000_000);
        assertEquals(0, dispatcher.queuedRequests());
        assertEquals(
                0,
                dispatcher.accountTotals().stream()
                        .mapToInt(AccountServiceTotals::requestsInFlight)
                        .sum());
        // 50 is the reserve of the retry budget, 0.2 its ratio.
        int retries = dispatches - requestById.size();
        assertTrue(retries <= 50 + 0.2 * requestById.size(), retries + " retries of " + requestById.size());
    }

    private ServiceDispatcher drive(ServiceConfig.Kind kind, long seed, int upstreams, boolean repeatable) {
        requestById.clear();
        possibleRunsByRequest.clear();
        finished.clear();
        openDispatchByAttempt.clear();
        dispatches = 0;
        Random random = new Random(seed);
        ServiceDispatcher dispatcher = DispatchFixture.dispatcher(kind, upstreams);
        long nowMillis = 0;
        for (int i = 0; i < 200; i++) {
            nowMillis += random.nextInt(200);
            if (random.nextBoolean()) {
                String id = "r" + i;
                DispatchRequest request = DispatchFixture.request(
                        id, random.nextBoolean() ? "fonds" : "crew", nowMillis + 5_000, repeatable);
                requestById.put(id, request);
                apply(dispatcher.submit(request, nowMillis));
            }
            endOne(dispatcher, random, nowMillis);
            apply(dispatcher.onTick(nowMillis));
        }
        while (!openDispatchByAttempt.isEmpty()) {
            nowMillis += 1_000;
            endOne(dispatcher, random, nowMillis);
        }
        return dispatcher;
    }

    private void endOne(ServiceDispatcher dispatcher, Random random, long nowMillis) {
        if (openDispatchByAttempt.isEmpty()) {
            return;
        }
        List<AttemptId> ids = new ArrayList<>(openDispatchByAttempt.keySet());
        ids.sort(null);
        AttemptId id = ids.get(random.nextInt(ids.size()));
        DispatchDecision.Dispatch dispatch = openDispatchByAttempt.remove(id);
        AttemptEnd.Outcome outcome = OUTCOMES[random.nextInt(OUTCOMES.length)];
        String request = dispatch.request().value();
        if (outcome != AttemptEnd.Outcome.NOT_RUN && outcome != AttemptEnd.Outcome.NOT_SENT) {
            possibleRunsByRequest.merge(request, 1, Integer::sum);
        }
        if (outcome == AttemptEnd.Outcome.COMPLETED || outcome == AttemptEnd.Outcome.CANCELLED) {
            assertTrue(finished.add(request), request + " ended twice");
        }
        apply(dispatcher.onAttemptEnd(id, new AttemptEnd(outcome, 0, 0), nowMillis));
    }

    private void apply(List<DispatchDecision> decisions) {
        for (DispatchDecision decision : decisions) {
            String request = decision.request().value();
            if (decision instanceof DispatchDecision.Dispatch) {
                assertTrue(!finished.contains(request), request + " was dispatched after its end");
                DispatchDecision.Dispatch dispatch = (DispatchDecision.Dispatch) decision;
                assertEquals(null, openDispatchByAttempt.put(dispatch.attempt(), dispatch));
                dispatches++;
            } else {
                assertTrue(finished.add(request), request + " ended twice");
                boolean mayHaveRun = ((DispatchDecision.Refuse) decision).mayHaveRun();
                assertEquals(possibleRunsByRequest.getOrDefault(request, 0) > 0, mayHaveRun, request);
            }
        }
    }

    /** All attempts of a request crash; the request is sent ten times, but has at most two attempts in total. */
    @Property(tries = 50, seed = "20261203")
    void crashesAtMostTwoUpstreamsByOneRequest(@ForAll long seed, @ForAll @IntRange(min = 2, max = 8) int upstreams) {
        Random random = new Random(seed);
        ServiceDispatcher dispatcher = DispatchFixture.dispatcher(ServiceConfig.Kind.MODEL, upstreams);
        Set<UpstreamId> crashed = new HashSet<>();
        int crashes = 0;
        long nowMillis = 0;
        for (int resend = 0; resend < 10; resend++) {
            DispatchRequest request = DispatchFixture.request("bad", "fonds", nowMillis + 30_000, true);
            List<DispatchDecision> decisions = dispatcher.submit(request, nowMillis);
            for (int step = 0; step < 40; step++) {
                for (DispatchDecision decision : decisions) {
                    if (decision instanceof DispatchDecision.Dispatch) {
                        DispatchDecision.Dispatch dispatch = (DispatchDecision.Dispatch) decision;
                        crashes++;
                        crashed.add(dispatch.upstream());
                        dispatcher.onAttemptEnd(
                                dispatch.attempt(), new AttemptEnd(AttemptEnd.Outcome.CRASHED, 0, 0), nowMillis);
                    }
                }
                nowMillis += 100 + random.nextInt(400);
                decisions = dispatcher.onTick(nowMillis);
            }
        }
        assertTrue(crashes <= 2, crashes + " crashes on " + crashed);
    }
}
