package org.cactusshift.standin.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cactusshift.standin.DaemonThreads;
import org.cactusshift.standin.ReceivedLog;
import org.cactusshift.standin.StandIn;
import org.cactusshift.standin.StandInFaults;
import org.cactusshift.standin.StandInHandler;
import org.cactusshift.standin.StandInRequest;
import org.cactusshift.standin.StandInResponse;
import org.cactusshift.standin.StandInServer;

/**
 * Stand-in for a model engine.
 *
 * <p>Implements continuous batching in real time, a bounded prefix cache, priorities, resumption of partly delivered
 * answers, cancellation when the caller closes its connection, export and fetch of KV caches, and orders, that is,
 * commands to change the role or to load a model version. The generated text is that of {@link ExpectedAnswer}. A
 * restart loses the requests, the caches, the state of the orders and a role or version that they changed; the log of
 * received requests and the list of received orders stay.
 */
public final class StandInEngine implements StandIn, StandInHandler {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int ACCEPTED = 202;

    /**
     * The last assigned epoch, which identifies one start in load reports; counts up from the time of class loading.
     */
    private static final AtomicLong LAST_EPOCH = new AtomicLong(System.currentTimeMillis());

    private final EngineSettings settings;

    private final StandInServer server;

    private final EngineOrders orders = new EngineOrders();

    private final EngineOrderRunner orderRunner;

    private final KvExports exports = new KvExports();

    private final AttemptLog attempts = new AttemptLog();

    /** One thread waits while it executes an order; the other one restarts the engine after a crash. */
    private final ScheduledExecutorService timer =
            Executors.newScheduledThreadPool(2, DaemonThreads.named("stand-in-engine"));

    private volatile EngineBatch batch;

    private volatile long epoch;

    private volatile boolean draining;

    private volatile Optional<ResponseIdentity> lastIdentity = Optional.empty();

    private StandInEngine(EngineSettings settings) {
        this.settings = settings;
        this.server = StandInServer.create(settings.port(), this);
        this.orderRunner = new EngineOrderRunner(settings, orders);
        this.batch = new EngineBatch(settings, this::crash);
    }

    /**
     * Creates an engine, which listens once it is started.
     *
     * @param settings the settings
     * @return the engine
     */
    public static StandInEngine create(EngineSettings settings) {
        return new StandInEngine(settings);
    }

    @Override
    public synchronized void start() throws IOException {
        batch = new EngineBatch(settings, this::crash);
        orders.clearState();
        exports.clear();
        attempts.clear();
        epoch = LAST_EPOCH.incrementAndGet();
        server.start();
        Thread loop =
                DaemonThreads.named("stand-in-batch-" + settings.engineId()).newThread(batch);
        loop.start();
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

    /**
     * Returns the settings.
     *
     * @return the settings
     */
    public EngineSettings settings() {
        return settings;
    }

    /**
     * Returns all received orders, including those before a crash.
     *
     * @return the orders, oldest first
     */
    public List<ReceivedEngineOrder> receivedOrders() {
        return orders.received();
    }

    /**
     * Sets whether the engine is draining. A draining engine says so in its load reports and refuses
     * new work.
     *
     * @param draining true if the engine is draining
     */
    public void setDraining(boolean draining) {
        this.draining = draining;
    }

    @Override
    public synchronized void crash() {
        server.crash();
        batch.stop();
        if (settings.timing().restartAfterMillis() > 0 && !timer.isShutdown()) {
            timer.schedule(this::restart, settings.timing().restartAfterMillis(), TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
        crash();
        orderRunner.close();
        exports.close();
    }

    @Override
    public StandInResponse handle(StandInRequest request) throws IOException {
        switch (request.method() + " " + request.path()) {
            case "POST /v1/chat/completions":
            case "POST /v1/completions":
                return generate(request);
            case "GET /v1/models":
                return models();
            case "GET /load":
                return loadReport();
            case "GET /cache-events":
                return cacheEvents(request);
            case "POST /orders":
                return receiveOrder(request);
            case "GET /orders":
                return StandInResponse.json(StandInResponse.OK, orders.toJson(batch.role(), batch.version()));
            default:
                return handlePathWithId(request);
        }
    }

    @Override
    public StandInResponse refuse(StandInRequest request) {
        return notAdmitted();
    }

    /** Handles the paths {@code /requests/ID} and {@code /kv-blocks/ID}. */
    private StandInResponse handlePathWithId(StandInRequest request) {
        String[] segments = request.pathSegments();
        if (segments.length == 2 && segments[0].equals("requests")) {
            return attemptTotals(segments[1]);
        }
        if (segments.length == 2 && segments[0].equals(KvExports.PATH_SEGMENT) && exports.release(segments[1])) {
            return StandInResponse.json(StandInResponse.OK, JsonNodeFactory.instance.objectNode());
        }
        return StandInResponse.error(StandInResponse.NOT_FOUND, "not_found");
    }

    private StandInResponse generate(StandInRequest httpRequest) throws IOException {
        Optional<GenerateRequest> parsed = GenerateRequest.parse(httpRequest.path(), httpRequest.body());
        if (parsed.isEmpty()) {
            return StandInResponse.error(StandInResponse.BAD_REQUEST, "invalid_request");
        }
        GenerateRequest request = parsed.get();
        if (Sequence.neededBlocks(request) > settings.memoryBlocks()) {
            return StandInResponse.error(StandInResponse.BAD_REQUEST, "context_length_exceeded");
        }
        EngineBatch current = batch;
        if (server.faults().isRefusingNewWork() || draining || current.isOutOfService()) {
            return notAdmitted();
        }
        int fetchedTokens = exports.fetch(request);
        boolean crashing = server.faults().containsCrashMarker(request.prompt());
        Sequence sequence = current.submit(request, fetchedTokens, crashing);
        EngineAttempt attempt = new EngineAttempt(
                current,
                sequence,
                httpRequest,
                identityFor(httpRequest, request),
                settings.timing().keepAliveMillis(),
                attempts,
                () -> exports.export(settings.engineId(), address()));
        attempts.begin(attempt);
        return request.stream() ? attempt.stream() : attempt.runToCompletion();
    }

    /** Returns the identity that a response carries: that of the previous request while responses are misattributed. */
    private ResponseIdentity identityFor(StandInRequest httpRequest, GenerateRequest request) {
        ResponseIdentity own = new ResponseIdentity(httpRequest.attemptId(), request.answer());
        ResponseIdentity other =
                lastIdentity.orElse(new ResponseIdentity("other-attempt", ExpectedAnswer.forPrompt("other prompt")));
        lastIdentity = Optional.of(own);
        return server.faults().isMisattributingResponses() ? other : own;
    }

    private StandInResponse models() {
        ObjectNode root = JsonNodeFactory.instance.objectNode().put("object", "list");
        root.putArray("data").addObject().put("id", settings.model()).put("object", "model");
        return StandInResponse.json(StandInResponse.OK, root);
    }

    private StandInResponse loadReport() {
        long nowMillis = EngineBatch.nowMillis();
        LoadReport report = batch.report(nowMillis);
        return StandInResponse.json(
                StandInResponse.OK,
                EngineResponseJson.load(report, settings.memoryBlocks(), draining, epoch, nowMillis));
    }

    private StandInResponse cacheEvents(StandInRequest request) {
        long after = Long.parseLong(request.parameter("after").orElse("0"));
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ArrayNode events = JsonNodeFactory.instance.arrayNode();
        long next = after;
        for (CacheEventLog.CacheEvent event : batch.eventsAfter(after, EngineBatch.nowMillis())) {
            next = event.sequence();
            events.addObject()
                    .put("sequence", event.sequence())
                    .put("kind", event.kind().name().toLowerCase(Locale.ROOT))
                    .put("prefix", String.format("%016x", event.prefixHash()));
        }
        root.put("next", next).set("events", events);
        return StandInResponse.json(StandInResponse.OK, root);
    }

    private StandInResponse receiveOrder(StandInRequest request) {
        JsonNode order;
        try {
            order = MAPPER.readTree(request.body());
        } catch (JsonProcessingException e) {
            return StandInResponse.error(StandInResponse.BAD_REQUEST, "invalid_request");
        }
        boolean checksFencing = settings.checksFencing() && !server.faults().isIgnoringFencing();
        ReceivedEngineOrder receivedOrder = orders.receive(order, checksFencing, System.currentTimeMillis());
        switch (receivedOrder.decision()) {
            case STALE:
                return StandInResponse.error(StandInResponse.CONFLICT, "stale_fencing_number");
            case BUSY:
                return StandInResponse.error(StandInResponse.CONFLICT, "busy");
            case MALFORMED:
                return StandInResponse.error(StandInResponse.BAD_REQUEST, "invalid_request");
            case ACCEPTED:
                startOrder(order);
                return accepted(receivedOrder);
            default:
                return accepted(receivedOrder);
        }
    }

    private void startOrder(JsonNode order) {
        EngineBatch current = batch;
        attempts.running().forEach(EngineAttempt::recordCutByOrder);
        current.takeOutOfService();
        timer.execute(() -> orderRunner.run(order, current));
    }

    private static StandInResponse accepted(ReceivedEngineOrder order) {
        return StandInResponse.json(
                ACCEPTED,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("order_id", order.orderId())
                        .put("state", "accepted"));
    }

    private StandInResponse attemptTotals(String attemptId) {
        return attempts.findTotals(attemptId)
                .map(totals -> StandInResponse.json(StandInResponse.OK, totals))
                .orElseGet(() -> StandInResponse.error(StandInResponse.NOT_FOUND, "not_found"));
    }

    private void restart() {
        try {
            start();
        } catch (IOException e) {
            System.getLogger(StandInEngine.class.getName())
                    .log(System.Logger.Level.WARNING, "could not restart the engine after a crash; it stays down", e);
        }
    }

    private static StandInResponse notAdmitted() {
        return StandInResponse.error(StandInResponse.UNAVAILABLE, "not_admitted")
                .withHeader("Retry-After", "1");
    }
}
