package org.cactusshift.replay.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision;
import org.cactusshift.internal.coordination.dispatch.DispatchRequest;
import org.cactusshift.internal.coordination.dispatch.DispatcherOptions;
import org.cactusshift.internal.coordination.dispatch.EngineLoad;
import org.cactusshift.internal.coordination.dispatch.ServiceDispatcher;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the dispatch of a request, from its arrival through the routing decision to the end of its attempt. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DispatchBenchmark {
    /** The number of client accounts that the product is designed for. */
    private static final int ACCOUNTS = 7_700;

    private static final ServiceId SERVICE = ServiceId.fromString("model");
    private static final AttemptEnd COMPLETED = new AttemptEnd(AttemptEnd.Outcome.COMPLETED, 400, 50);

    @Param({"8", "100", "1100"})
    private int engines;

    /**
     * The time between requests, in milliseconds; at 1, more prompt tokens arrive than 8 or 100 engines can prefill.
     */
    @Param({"1", "1000"})
    private long gapMillis;

    private final Random random = new Random(1);
    private ServiceDispatcher dispatcher;
    private List<AccountId> accounts;
    private List<RequestId> requests;
    private long nowMillis;
    private int next;

    /**
     * Creates a fleet with half of its KV-cache blocks in use and random backlogs; loads are reported only at time 0.
     */
    @Setup
    public void setUp() {
        accounts = new ArrayList<>();
        requests = new ArrayList<>();
        List<AccountConfig> accountConfigs = new ArrayList<>();
        for (int i = 0; i < ACCOUNTS; i++) {
            accounts.add(AccountId.fromString("account-" + i));
            requests.add(RequestId.fromString("request-" + i));
            accountConfigs.add(new AccountConfig(accounts.get(i), 1, 0, 0, List.of(), List.of()));
        }
        List<UpstreamConfig> upstreams = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            upstreams.add(upstream(i));
        }
        DispatcherOptions options =
                new DispatcherOptions(IncarnationId.fromString("benchmark"), ServiceConfig.Kind.MODEL, 1_000, 0.2);
        dispatcher = ServiceDispatcher.create(options, random);
        dispatcher.onConfig(accountConfigs, upstreams, 0);
        for (UpstreamConfig upstream : upstreams) {
            dispatcher.onLoad(upstream.id(), load(), 0);
        }
    }

    private static UpstreamConfig upstream(int index) {
        return new UpstreamConfig(
                UpstreamId.fromString("engine-" + index),
                SERVICE,
                FailureDomainId.fromString("domain-" + index % 2),
                // A placeholder: the benchmark opens no connections.
                "127.0.0.1:1",
                UpstreamConfig.Role.MIXED,
                false,
                true,
                false,
                1,
                64);
    }

    private EngineLoad load() {
        return new EngineLoad(0, 8, 0, random.nextInt(4_000), 32, 64, 8_000, 40, UpstreamConfig.Role.MIXED, false, 1);
    }

    /**
     * Submits a request, applies the routing decision and ends the attempt.
     *
     * @return the decisions
     */
    @Benchmark
    public List<DispatchDecision> decide() {
        nowMillis += gapMillis;
        next = (next + 1) % ACCOUNTS;
        DispatchRequest request = new DispatchRequest(
                requests.get(next),
                accounts.get(next),
                SERVICE,
                next % 4 == 0 ? 6_000 : 400,
                100,
                List.of((long) next, next + 1L),
                nowMillis + 60_000,
                true,
                next);
        List<DispatchDecision> decisions = dispatcher.submit(request, nowMillis);
        for (DispatchDecision decision : decisions) {
            if (decision instanceof DispatchDecision.Dispatch) {
                dispatcher.onAttemptEnd(((DispatchDecision.Dispatch) decision).attempt(), COMPLETED, nowMillis);
            }
        }
        return decisions;
    }
}
