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

/** Sends orders to engines over HTTP. */
public final class HttpEngineOrderTransport implements OrderTransport {
    private static final String SEND_STEP = "send engine order";
    private static final String READ_STEP = "read engine orders";
    private static final String PATH = "/orders";
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_CONFLICT = 409;

    private final PlatformHttpClient calls;

    private HttpEngineOrderTransport(PlatformHttpClient calls) {
        this.calls = Objects.requireNonNull(calls, "calls");
    }

    /**
     * Returns a sender.
     *
     * @param calls makes the calls
     * @return the sender
     */
    public static HttpEngineOrderTransport create(PlatformHttpClient calls) {
        return new HttpEngineOrderTransport(calls);
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
            return Either.left(Failure.noEffect(SEND_STEP, order.target(), "not an order for an engine"));
        }
        return calls.post(SEND_STEP, order.address(), PATH, PlatformJson.write(body))
                .flatMap(answer -> receipt(order, answer));
    }

    private static Either<Failure, SendResult> receipt(Order order, PlatformResponse answer) {
        if (answer.isSuccess()) {
            return Either.right(SendResult.ACCEPTED);
        }
        if (answer.status() == STATUS_BAD_REQUEST) {
            return Either.right(SendResult.REFUSED);
        }
        String code = answer.status() == STATUS_CONFLICT ? PlatformJson.errorCode(answer.body()) : "";
        return switch (code) {
            case "stale_fencing_number" -> Either.right(SendResult.STALE_FENCING_NUMBER);
            case "busy" -> Either.right(SendResult.BUSY);
            default -> Either.left(Failure.unknownEffect(SEND_STEP, order.target(), "status " + answer.status()));
        };
    }

    @Override
    public Either<Failure, Progress> progress(Order order) {
        return calls.get(READ_STEP, order.address(), PATH).flatMap(answer -> {
            JsonNode state = PlatformJson.read(answer.body());
            return answer.isSuccess() && state.isObject()
                    ? Either.right(progressOf(order, state))
                    : Either.left(Failure.noEffect(READ_STEP, order.target(), "status " + answer.status()));
        });
    }

    /**
     * Asks an engine for its version, role and outstanding order.
     *
     * @param engine the engine
     * @return what it says, or the failure
     */
    public Either<Failure, EngineStatus> status(UpstreamConfig engine) {
        return calls.get(READ_STEP, engine.address(), PATH).flatMap(answer -> {
            JsonNode state = PlatformJson.read(answer.body());
            String version = state.path("version").asText("");
            return answer.isSuccess() && !version.isEmpty()
                    ? roleOf(engine, state)
                            .map(role -> new EngineStatus(
                                    version, role, state.path("outstanding").isObject()))
                    : Either.left(Failure.noEffect(READ_STEP, engine.id().value(), "status " + answer.status()));
        });
    }

    private static Either<Failure, UpstreamConfig.Role> roleOf(UpstreamConfig engine, JsonNode state) {
        String name = state.path("role").asText("");
        for (UpstreamConfig.Role role : UpstreamConfig.Role.values()) {
            if (role.name().toLowerCase(Locale.ROOT).equals(name)) {
                return Either.right(role);
            }
        }
        return Either.left(Failure.noEffect(READ_STEP, engine.id().value(), "role " + name));
    }

    private static Progress progressOf(Order order, JsonNode state) {
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
