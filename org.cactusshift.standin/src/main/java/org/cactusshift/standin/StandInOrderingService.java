package org.cactusshift.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for the service at which upstreams are ordered; serves all failure domains at one address. An order here is
 * a request for a number of upstreams of one service in one failure domain.
 *
 * <p>Records the fencing number of each order for tests and does not check it.
 */
public final class StandInOrderingService implements StandIn, StandInHandler {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int CREATED = 201;

    /** The number of segments of {@code /v1/failure-domains/DOMAIN/orders}. */
    private static final int LIST_PATH_SEGMENTS = 4;

    /** The number of segments of {@code /v1/failure-domains/DOMAIN/orders/ORDER}. */
    private static final int ORDER_PATH_SEGMENTS = 5;

    private final OrderingSettings settings;

    private final UpstreamLauncher launcher;

    private final StandInServer server;

    private final Map<String, UpstreamOrder> ordersById = new LinkedHashMap<>();

    private final Map<String, Integer> capacityByFailureDomain = new HashMap<>();

    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("stand-in-ordering"));

    private StandInOrderingService(OrderingSettings settings, UpstreamLauncher launcher) {
        this.settings = settings;
        this.launcher = launcher;
        this.server = StandInServer.create(settings.port(), this);
    }

    /**
     * Creates the service, which listens once it is started.
     *
     * @param settings the settings
     * @param launcher starts and stops the upstreams
     * @return the stand-in
     */
    public static StandInOrderingService create(OrderingSettings settings, UpstreamLauncher launcher) {
        return new StandInOrderingService(settings, launcher);
    }

    @Override
    public void start() throws IOException {
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
        timer.shutdownNow();
        server.close();
    }

    /**
     * Sets the capacity of a failure domain.
     *
     * @param failureDomain the failure domain
     * @param upstreams the maximum number of ordered upstreams; those that run already stay
     */
    public synchronized void setCapacity(String failureDomain, int upstreams) {
        capacityByFailureDomain.put(failureDomain, upstreams);
    }

    /**
     * Returns all accepted orders.
     *
     * @return the orders, oldest first
     */
    public synchronized List<UpstreamOrder> orders() {
        return List.copyOf(ordersById.values());
    }

    @Override
    public StandInResponse handle(StandInRequest request) {
        String[] segments = request.pathSegments();
        boolean isOrdersPath = request.path().startsWith("/v1/failure-domains/")
                && segments.length >= LIST_PATH_SEGMENTS
                && segments[3].equals("orders");
        if (!isOrdersPath) {
            return StandInResponse.error(StandInResponse.NOT_FOUND, "not_found");
        }
        String failureDomain = segments[2];
        if (request.method().equals("DELETE") && segments.length == ORDER_PATH_SEGMENTS) {
            return releaseOrder(failureDomain, segments[4], request.parameter("token"));
        }
        return switch (request.method()) {
            case "GET" -> listOrders(failureDomain);
            case "POST" -> receiveOrder(failureDomain, request.body());
            default -> StandInResponse.error(StandInResponse.NOT_FOUND, "not_found");
        };
    }

    private StandInResponse receiveOrder(String failureDomain, String body) {
        JsonNode orderJson;
        try {
            orderJson = MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            return StandInResponse.error(StandInResponse.BAD_REQUEST, "invalid_request");
        }
        String token = orderJson.path("token").asText("");
        int count = orderJson.path("count").asInt(0);
        if (token.isEmpty() || count < 1) {
            return StandInResponse.error(StandInResponse.BAD_REQUEST, "invalid_request");
        }
        return acceptOrder(failureDomain, token, count, orderJson);
    }

    /** Accepts an order, returns the accepted one if its token repeats, or refuses it beyond the capacity. */
    private synchronized StandInResponse acceptOrder(
            String failureDomain, String token, int count, JsonNode orderJson) {
        Optional<UpstreamOrder> repeated = ordersById.values().stream()
                .filter(order ->
                        order.token().equals(token) && order.failureDomain().equals(failureDomain))
                .findFirst();
        if (repeated.isPresent()) {
            return StandInResponse.json(CREATED, summary(repeated.get()));
        }
        if (orderedUpstreams(failureDomain) + count > capacityOf(failureDomain)) {
            return StandInResponse.error(StandInResponse.CONFLICT, "unavailable");
        }
        UpstreamOrder order = new UpstreamOrder(
                "order-" + (ordersById.size() + 1),
                failureDomain,
                token,
                orderJson.path("service").asText(),
                count,
                orderJson.path("reclaimable").asBoolean(false),
                orderJson.path("fencing_number").asLong(0),
                UpstreamOrder.State.PENDING,
                List.of());
        ordersById.put(order.orderId(), order);
        timer.schedule(() -> provision(order.orderId()), settings.provisionMillis(), TimeUnit.MILLISECONDS);
        return StandInResponse.json(CREATED, summary(order));
    }

    private synchronized void provision(String orderId) {
        UpstreamOrder order = ordersById.get(orderId);
        if (order.state() != UpstreamOrder.State.PENDING) {
            return;
        }
        List<LaunchedUpstream> launched = new ArrayList<>();
        try {
            for (int i = 0; i < order.count(); i++) {
                launched.add(launcher.launch(order.failureDomain(), order.service(), order.reclaimable()));
            }
        } catch (IOException e) {
            System.getLogger(StandInOrderingService.class.getName())
                    .log(
                            System.Logger.Level.WARNING,
                            "could not start all upstreams of an order; the order runs with those started",
                            e);
        }
        ordersById.put(orderId, order.withState(UpstreamOrder.State.RUNNING, launched));
    }

    /** Releases an order; the request needs a token, whose value is not checked. */
    private synchronized StandInResponse releaseOrder(String failureDomain, String orderId, Optional<String> token) {
        UpstreamOrder order = ordersById.get(orderId);
        if (order == null || !order.failureDomain().equals(failureDomain) || token.isEmpty()) {
            return StandInResponse.error(StandInResponse.NOT_FOUND, "not_found");
        }
        order.upstreams().forEach(upstream -> launcher.release(upstream.upstreamId()));
        UpstreamOrder released = order.withState(UpstreamOrder.State.RELEASED, List.of());
        ordersById.put(orderId, released);
        return StandInResponse.json(StandInResponse.OK, summary(released));
    }

    private synchronized StandInResponse listOrders(String failureDomain) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ArrayNode listed = root.putArray("orders");
        for (UpstreamOrder order : ordersById.values()) {
            if (order.failureDomain().equals(failureDomain)) {
                listed.add(details(order));
            }
        }
        return StandInResponse.json(StandInResponse.OK, root);
    }

    private int orderedUpstreams(String failureDomain) {
        return ordersById.values().stream()
                .filter(order ->
                        order.failureDomain().equals(failureDomain) && order.state() != UpstreamOrder.State.RELEASED)
                .mapToInt(UpstreamOrder::count)
                .sum();
    }

    private int capacityOf(String failureDomain) {
        return capacityByFailureDomain.getOrDefault(failureDomain, settings.capacityPerFailureDomain());
    }

    private static ObjectNode summary(UpstreamOrder order) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("order_id", order.orderId())
                .put("token", order.token())
                .put("state", order.state().name().toLowerCase(Locale.ROOT));
    }

    private static ObjectNode details(UpstreamOrder order) {
        ObjectNode root = summary(order)
                .put("service", order.service())
                .put("count", order.count())
                .put("reclaimable", order.reclaimable());
        ArrayNode upstreams = root.putArray("upstreams");
        for (LaunchedUpstream upstream : order.upstreams()) {
            upstreams.addObject().put("upstream_id", upstream.upstreamId()).put("address", upstream.address());
        }
        return root;
    }
}
