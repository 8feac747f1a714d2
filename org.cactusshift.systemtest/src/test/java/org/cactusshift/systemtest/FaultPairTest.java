package org.cactusshift.systemtest;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.cactusshift.standin.engine.StandInEngine;
import org.cactusshift.systemtest.TrafficCall.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks the guarantees under pairs of simultaneous faults, chosen from a fixed seed. */
class FaultPairTest extends FaultTest {
    private static final long PAIR_SEED = 62;

    private static final int PAIR_COUNT = 3;

    private static final int LOST_RESPONSE_COUNT = 20;

    private enum Fault {
        /** Kills a node that holds a claim duty. */
        KILL_CLAIM_DUTY_HOLDER,
        /** Pauses a node that holds a usage duty, and resumes it. */
        PAUSE_USAGE_DUTY_HOLDER,
        /** Makes the store unavailable. */
        STORE_AWAY,
        /** Drops the responses to the next transactions of the store. */
        STORE_RESPONSES_LOST,
        /** Crashes an engine and starts it again. */
        ENGINE_CRASH,
        /** Stalls the open connections of all plain services. */
        STALLED_SERVICE_CONNECTIONS
    }

    private final Set<SiteNode> killedNodes = new HashSet<>();

    static Stream<Arguments> pairs() {
        Random random = new Random(PAIR_SEED);
        List<Fault> faults = new ArrayList<>(List.of(Fault.values()));
        List<Arguments> pairs = new ArrayList<>();
        for (int i = 0; i < PAIR_COUNT; i++) {
            Collections.shuffle(faults, random);
            pairs.add(Arguments.of(faults.get(0), faults.get(1)));
        }
        return pairs.stream();
    }

    @ParameterizedTest
    @MethodSource("pairs")
    void pairOfFaultsBreaksNoGuarantee(Fault first, Fault second) throws Exception {
        Undo undoFirst = inject(first);
        Undo undoSecond = inject(second);
        traffic.awaitAnswered(Kind.STREAMED_CHAT, AWAITED_CALLS);
        undoFirst.run();
        undoSecond.run();
        traffic.awaitAnswered(Kind.PAYOUT, AWAITED_CALLS);
        traffic.awaitAnswered(Kind.STREAMED_CHAT, AWAITED_CALLS);
        finish().assertUsageWithinBounds(killedNodes);
    }

    private Undo inject(Fault fault) throws Exception {
        switch (fault) {
            case KILL_CLAIM_DUTY_HOLDER -> {
                SiteNode holder = site.awaitDutyHolder("claim");
                holder.process().kill();
                holder.process().awaitExit(FaultTestSite.CONDITION_TIMEOUT_MILLIS);
                killedNodes.add(holder);
                site.deregister(holder);
                return Undo.NOTHING;
            }
            case PAUSE_USAGE_DUTY_HOLDER -> {
                SiteNode holder = site.awaitDutyHolder("usage");
                holder.process().pause();
                return holder.process()::resume;
            }
            case STORE_AWAY -> {
                site.platform().keyValueService().faults().setUnavailable(true);
                return () -> site.platform().keyValueService().faults().setUnavailable(false);
            }
            case STORE_RESPONSES_LOST -> {
                site.platform()
                        .keyValueService()
                        .faults()
                        .dropResponses(
                                LOST_RESPONSE_COUNT, request -> request.path().equals("/v3/kv/txn"));
                return Undo.NOTHING;
            }
            case ENGINE_CRASH -> {
                StandInEngine engine = site.platform().engines().get(0);
                engine.crash();
                return engine::start;
            }
            case STALLED_SERVICE_CONNECTIONS -> {
                site.platform()
                        .plainInstances()
                        .forEach(service -> service.faults().stallOpenConnections());
                return Undo.NOTHING;
            }
            default -> throw new IllegalArgumentException(fault.name());
        }
    }

    /** Reverts an injected fault. */
    private interface Undo {
        Undo NOTHING = () -> {};

        void run() throws Exception;
    }
}
