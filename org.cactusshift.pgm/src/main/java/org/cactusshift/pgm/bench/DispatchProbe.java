package org.cactusshift.pgm.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.RequestId;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision;
import org.cactusshift.internal.coordination.dispatch.DispatchRequest;
import org.cactusshift.internal.coordination.dispatch.DispatcherOptions;
import org.cactusshift.internal.coordination.dispatch.ServiceDispatcher;

/** Measures the dispatcher of one model: CPU time of a decision, and memory for each engine and each open request. */
final class DispatchProbe implements Probe {
    private static final int ACCOUNTS = 770;
    private static final int MAXIMUM_QUEUED_REQUESTS = 100_000;
    private static final int REPEAT_FACTOR = 10;
    private static final int MAXIMUM_QUEUED_PREFILL_TOKENS = 4_000;
    private static final long ARRIVAL_GAP_MILLIS = 1_000;
    private static final long DEADLINE_MILLIS = 60_000;
    private static final int ENGINES_PER_MODEL_TODAY = 8;
    /** The open requests at a node of a planned site: 26 requests/s, each of 340 tokens at 76 ms per token. */
    private static final int OPEN_REQUESTS_PLANNED = 680;

    private static final int OPEN_REQUESTS_TODAY = 30;
    private static final AttemptEnd COMPLETED = new AttemptEnd(AttemptEnd.Outcome.COMPLETED, 400, 50);

    @Override
    public List<ScalingMeasurement> measure(Scale scale) {
        List<Sample> decisionCpu = new ArrayList<>();
        List<Sample> dispatcherBytesByEngines = new ArrayList<>();
        for (int engines : scale.sizes(100, 400, 700, 1_100)) {
            dispatcherBytesByEngines.add(new Sample(engines, Meter.retainedBytes(() -> dispatcher(engines))));
            decisionCpu.add(new Sample(engines, decisionMicros(scale, engines)));
        }
        List<Sample> dispatcherBytesByRequests = new ArrayList<>();
        for (int open : scale.sizes(1_000, 2_000, 4_000)) {
            // The engines of one model at a planned site, rounded up.
            ServiceDispatcher dispatcher = dispatcher(scale.sizes(632).get(0));
            dispatcherBytesByRequests.add(
                    new Sample(open, Meter.retainedBytes(() -> withOpenRequests(dispatcher, open))));
        }
        int engines = SiteSizes.ENGINES_PER_MODEL_PLANNED;
        return List.of(
                measurement("decision, CPU us", "engine in view", ENGINES_PER_MODEL_TODAY, engines, decisionCpu),
                measurement(
                        "dispatcher, bytes",
                        "engine in view",
                        SiteSizes.ENGINES_TODAY,
                        SiteSizes.ENGINES_PLANNED,
                        dispatcherBytesByEngines),
                measurement(
                        "dispatcher, bytes",
                        "open request",
                        OPEN_REQUESTS_TODAY,
                        OPEN_REQUESTS_PLANNED,
                        dispatcherBytesByRequests));
    }

    private static ScalingMeasurement measurement(
            String measure, String per, int today, int planned, List<Sample> samples) {
        return new ScalingMeasurement(NodeRole.GATEWAY, measure, per, today, planned, samples);
    }

    private static ServiceDispatcher dispatcher(int engines) {
        SiteConfig config = BenchSite.config(ACCOUNTS, engines, "127.0.0.1:1");
        RandomGenerator random = new Random(1);
        // The last option is the maximum share of retries in the requests.
        ServiceDispatcher dispatcher = ServiceDispatcher.create(
                new DispatcherOptions(BenchSite.incarnation(1), ServiceConfig.Kind.MODEL, MAXIMUM_QUEUED_REQUESTS, 0.2),
                random);
        dispatcher.onConfig(config.accounts(), config.upstreams(), 0);
        for (UpstreamConfig upstream : config.upstreams()) {
            dispatcher.onLoad(upstream.id(), BenchSite.load(0, random.nextInt(MAXIMUM_QUEUED_PREFILL_TOKENS)), 0);
        }
        return dispatcher;
    }

    private static double decisionMicros(Scale scale, int engines) {
        ServiceDispatcher dispatcher = dispatcher(engines);
        int[] requestNumber = {0};
        return Meter.cpuMicros(scale.repeats() * REPEAT_FACTOR, () -> {
            requestNumber[0]++;
            long nowMillis = requestNumber[0] * ARRIVAL_GAP_MILLIS;
            for (DispatchDecision decision : dispatcher.submit(request(requestNumber[0], nowMillis), nowMillis)) {
                if (decision instanceof DispatchDecision.Dispatch) {
                    dispatcher.onAttemptEnd(((DispatchDecision.Dispatch) decision).attempt(), COMPLETED, nowMillis);
                }
            }
        });
    }

    private static ServiceDispatcher withOpenRequests(ServiceDispatcher dispatcher, int open) {
        for (int i = 0; i < open; i++) {
            dispatcher.submit(request(i, i), i);
        }
        return dispatcher;
    }

    static DispatchRequest request(int number, long nowMillis) {
        return new DispatchRequest(
                RequestId.fromString("request-" + number),
                BenchSite.accountId(number % ACCOUNTS),
                BenchSite.MODEL,
                // The prompt tokens: every fourth prompt is long.
                number % 4 == 0 ? 6_000 : 400,
                100,
                List.of((long) number, number + 1L),
                nowMillis + DEADLINE_MILLIS,
                true,
                number);
    }
}
