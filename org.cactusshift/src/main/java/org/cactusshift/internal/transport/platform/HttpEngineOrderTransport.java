package org.cactusshift.internal.transport.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.Locale;
import java.util.Objects;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.change.EngineStatus;
import org.cactusshift.internal.coordination.order.Order;
import org.cactusshift.internal.coordination.order.OrderContent;
import org.cactusshift.internal.coordination.order.OrderTransport;

/** Sends orders to engines over HTTP and reads their progress and the engines' status. */
public final class HttpEngineOrderTransport implements OrderTransport {
    private static final String SEND_STEP = "send engine order";
    private static final String READ_STEP = "read engine orders";
    private static final String PATH = "/orders";
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_CONFLICT = 409;

    private final PlatformHttpClient client;

    private HttpEngineOrderTransport(PlatformHttpClient client) {
        this.client = Objects.requireNonNull(client, "client");
    }

    /**
     * Creates a transport.
     *
     * @param client makes the HTTP calls
     * @return the transport
     */
    public static HttpEngineOrderTransport create(PlatformHttpClient client) {
        return new HttpEngineOrderTransport(client);
    }

    @Override
    public Either<Failure, SendResult> send(Order order, long fencingNumber) {
        ObjectNode body =
                PlatformJson.object().put("order_id", order.id().value()).put("fencing_number", fencingNumber);
        if (order.content() instanceof OrderContent.SetRole content) {
            body.put("kind", "set_role").put("role", content.role().name().toLowerCase(Locale.ROOT));
        } else if (order.content() instanceof OrderContent.LoadVersion content) {
            body.put("kind", "load_version").put("version", content.version());
        } else if (order.content() instanceof OrderContent.LoadAdapter content) {
            body.put("kind", "load_adapter").put("adapter", content.adapter());
        } else {
            return Either.left(Failure.noEffect(
                    SEND_STEP, order.target(), "the order is none of set_role, load_version, load_adapter"));
        }
        return client.post(SEND_STEP, order.address(), PATH, PlatformJson.write(body))
                .flatMap(response -> toSendResult(order, response));
    }

    private static Either<Failure, SendResult> toSendResult(Order order, PlatformResponse response) {
        if (response.isSuccess()) {
            return Either.right(SendResult.ACCEPTED);
        }
        if (response.status() == STATUS_BAD_REQUEST) {
            return Either.right(SendResult.REFUSED);
        }
        String code = response.status() == STATUS_CONFLICT ? PlatformJson.errorCode(response.body()) : "";
        return switch (code) {
            case "stale_fencing_number" -> Either.right(SendResult.STALE_FENCING_NUMBER);
            case "busy" -> Either.right(SendResult.BUSY);
            default -> Either.left(Failure.unknownEffect(SEND_STEP, order.target(), "status " + response.status()));
        };
    }

    @Override
    public Either<Failure, Progress> progress(Order order) {
        return client.get(READ_STEP, order.address(), PATH).flatMap(response -> {
            JsonNode state = PlatformJson.read(response.body());
            return response.isSuccess() && state.isObject()
                    ? Either.right(toProgress(order, state))
                    : Either.left(Failure.noEffect(
                            READ_STEP,
                            order.target(),
                            "unsuccessful or malformed response, status " + response.status()));
        });
    }

    /**
     * Reads the version, the role and the outstanding order of an engine.
     *
     * @param engine the engine
     * @return the reported status, or the failure
     */
    public Either<Failure, EngineStatus> status(UpstreamConfig engine) {
        return client.get(READ_STEP, engine.address(), PATH).flatMap(response -> {
            JsonNode state = PlatformJson.read(response.body());
            String version = state.path("version").asText("");
            return response.isSuccess() && !version.isEmpty()
                    ? roleOf(engine, state)
                            .map(role -> new EngineStatus(
                                    version, role, state.path("outstanding").isObject()))
                    : Either.left(Failure.noEffect(
                            READ_STEP,
                            engine.id().value(),
                            "unsuccessful or malformed response, status " + response.status()));
        });
    }

    private static Either<Failure, UpstreamConfig.Role> roleOf(UpstreamConfig engine, JsonNode state) {
        String name = state.path("role").asText("");
        for (UpstreamConfig.Role role : UpstreamConfig.Role.values()) {
            if (role.name().toLowerCase(Locale.ROOT).equals(name)) {
                return Either.right(role);
            }
        }
        return Either.left(Failure.noEffect(
                READ_STEP, engine.id().value(), "role \"" + name + "\" is none of prefill, decode, mixed"));
    }

    /**
     * Finds the order in the state of the engine, which reports its outstanding and its last finished order only; any
     * other order counts as not received.
     */
    private static Progress toProgress(Order order, JsonNode state) {
        String id = order.id().value();
        if (state.path("outstanding").path("order_id").asText("").equals(id)) {
            return Progress.RUNNING;
        }
        JsonNode last = state.path("last");
        if (!last.path("order_id").asText("").equals(id)) {
            return Progress.NOT_RECEIVED;
        }
        return last.path("state").asText("").equals("done") ? Progress.DONE : Progress.FAILED;
    }
}
