package org.cactusshift.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for a plain service with non-repeatable calls.
 *
 * <p>A call other than {@code GET} and {@code HEAD} executes each time it is received, unless the service refuses it or
 * crashes on it. {@code Idempotency-Key} is ignored on purpose, so that duplicate executions become visible.
 * {@code GET} and {@code HEAD} are repeatable and return the balance of their path. {@code /load} returns a load
 * report.
 */
public final class StandInPlainService implements StandIn, StandInHandler {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * The last assigned epoch, which identifies one start in load reports; counts up from the time of class loading.
     */
    private static final AtomicLong LAST_EPOCH = new AtomicLong(System.currentTimeMillis());

    private final PlainServiceSettings settings;

    private final StandInServer server;

    private final List<Execution> executions = new ArrayList<>();

    private final AtomicInteger running = new AtomicInteger();

    private final Deque<LoadSample> samples = new ArrayDeque<>();

    private volatile long epoch;

    private StandInPlainService(PlainServiceSettings settings) {
        this.settings = settings;
        this.server = StandInServer.create(settings.port(), this);
    }

    /**
     * Creates a service, which listens once it is started.
     *
     * @param settings the settings
     * @return the service
     */
    public static StandInPlainService create(PlainServiceSettings settings) {
        return new StandInPlainService(settings);
    }

    @Override
    public void start() throws IOException {
        epoch = LAST_EPOCH.incrementAndGet();
        server.start();
    }

    @Override
    public String address() {
        return server.address();
    }

    @Override
    public StandInFaults faults() {
        return server.faults();
    }

    @Override
    public ReceivedLog log() {
        return server.log();
    }

    @Override
    public void crash() {
        server.crash();
    }

    @Override
    public void close() {
        server.close();
    }

    /**
     * Returns all executions.
     *
     * @return the executions, oldest first
     */
    public List<Execution> executions() {
        synchronized (executions) {
            return List.copyOf(executions);
        }
    }

    /**
     * Counts the executions of each payment over several instances. Calls without a payment id count under the empty
     * id.
     *
     * @param instances the instances
     * @return the number of executions by payment id
     */
    public static Map<String, Integer> executionCountByPaymentId(List<StandInPlainService> instances) {
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (StandInPlainService instance : instances) {
            instance.executions().forEach(execution -> counts.merge(execution.paymentId(), 1, Integer::sum));
        }
        return counts;
    }

    @Override
    public StandInResponse handle(StandInRequest request) throws IOException {
        if (request.path().equals("/load")) {
            return loadReport();
        }
        if (server.faults().isRefusingNewWork()) {
            return refuse(request);
        }
        if (server.faults().containsCrashMarker(request.body())) {
            request.recordOutcome(ReceivedRequest.Outcome.CRASHED);
            crash();
            throw new IOException("the service crashed on a request with the crash marker");
        }
        running.incrementAndGet();
        try {
            return execute(request);
        } finally {
            running.decrementAndGet();
        }
    }

    @Override
    public StandInResponse refuse(StandInRequest request) {
        return StandInResponse.error(StandInResponse.UNAVAILABLE, "not_run")
                .withHeader("X-Not-Run", "true")
                .withHeader("Retry-After", "1");
    }

    private StandInResponse execute(StandInRequest request) throws IOException {
        StandInExchange.sleep(settings.workMillis());
        ObjectNode root = JsonNodeFactory.instance.objectNode().put("path", request.path());
        if (request.method().equals("GET") || request.method().equals("HEAD")) {
            return StandInResponse.json(StandInResponse.OK, root.put("balance_cents", balanceOf(request.path())));
        }
        Execution execution = new Execution(
                paymentIdOf(request.body()),
                request.path(),
                request.attemptId(),
                request.headers().getOrDefault("idempotency-key", ""),
                System.currentTimeMillis());
        synchronized (executions) {
            executions.add(execution);
        }
        return StandInResponse.json(
                StandInResponse.OK,
                root.put("payment_id", execution.paymentId()).put("state", "executed"));
    }

    /** Records a sample and returns the newest one that is at least as old as the load lag, or else the oldest one. */
    private StandInResponse loadReport() {
        long nowMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        LoadSample sample;
        synchronized (samples) {
            samples.addLast(new LoadSample(nowMillis, running.get()));
            while (samples.size() > 1
                    && samples.stream().skip(1).findFirst().orElseThrow().atMillis() + settings.loadLagMillis()
                            <= nowMillis) {
                samples.removeFirst();
            }
            sample = samples.getFirst();
        }
        return StandInResponse.json(
                StandInResponse.OK,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("age_millis", nowMillis - sample.atMillis())
                        .put("running", sample.running())
                        .put("waiting", 0)
                        .put("epoch", epoch));
    }

    private static String paymentIdOf(String body) {
        try {
            return MAPPER.readTree(body).path("payment_id").asText("");
        } catch (JsonProcessingException e) {
            return "";
        }
    }

    /** Returns a balance in cents, below 1,000,000, that depends on the path alone, so that a test can predict it. */
    private static int balanceOf(String path) {
        return Math.floorMod(path.hashCode(), 1_000_000);
    }

    private record LoadSample(long atMillis, int running) {}
}
