package org.cactusshift.internal.transport.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.Objects;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.order.Order;
import org.cactusshift.internal.coordination.order.OrderContent;
import org.cactusshift.internal.coordination.order.OrderTransport;

/**
 * Orders and releases upstreams at the platform's ordering interface over HTTP.
 *
 * <p>The order's id is the idempotency token. What became of an order is read from the interface's list.
 */
public final class HttpUpstreamOrderTransport implements OrderTransport {
    private static final String SEND_STEP = "order upstreams";
    private static final String READ_STEP = "list upstream orders";
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_CONFLICT = 409;

    private final PlatformHttpClient calls;

    private HttpUpstreamOrderTransport(PlatformHttpClient calls) {
        this.calls = Objects.requireNonNull(calls, "calls");
    }

    /**
     * Returns a sender.
     *
     * @param calls makes the calls
     * @return the sender
     */
    public static HttpUpstreamOrderTransport create(PlatformHttpClient calls) {
        return new HttpUpstreamOrderTransport(calls);
    }

    @Override
    public Either<Failure, SendResult> send(Order order, long fencingNumber) {
        if (order.content() instanceof OrderContent.PlaceUpstreams content) {
            ObjectNode body = PlatformJson.object()
                    .put("token", order.id().value())
                    .put("service", content.service().value())
                    .put("count", content.count())
                    .put("reclaimable", content.reclaimable())
                    .put("fencing_number", fencingNumber);
            return calls.post(SEND_STEP, order.address(), pathOf(order), PlatformJson.write(body))
                    .flatMap(answer -> receipt(order, answer));
        }
        if (order.content() instanceof OrderContent.ReleaseUpstreams content) {
            String path = pathOf(order) + "/" + content.placedOrder() + "?token="
                    + order.id().value();
            return calls.delete(SEND_STEP, order.address(), path).flatMap(answer -> receipt(order, answer));
        }
        return Either.left(Failure.noEffect(SEND_STEP, order.target(), "not an order for upstreams"));
    }

    private static Either<Failure, SendResult> receipt(Order order, PlatformResponse answer) {
        // A released order that the interface no longer knows shows in the list.
        if (answer.isSuccess() || answer.status() == STATUS_NOT_FOUND) {
            return Either.right(SendResult.ACCEPTED);
        }
        boolean refused = answer.status() == STATUS_BAD_REQUEST
                || (answer.status() == STATUS_CONFLICT
                        && PlatformJson.errorCode(answer.body()).equals("unavailable"));
        return refused
                ? Either.right(SendResult.REFUSED)
                : Either.left(Failure.unknownEffect(SEND_STEP, order.target(), "status " + answer.status()));
    }

    @Override
    public Either<Failure, Progress> progress(Order order) {
        return calls.get(READ_STEP, order.address(), pathOf(order)).flatMap(answer -> {
            JsonNode orders = PlatformJson.read(answer.body()).path("orders");
            return answer.isSuccess() && orders.isArray()
                    ? Either.right(progressOf(order, orders))
                    : Either.left(Failure.noEffect(READ_STEP, order.target(), "status " + answer.status()));
        });
    }

    private static Progress progressOf(Order order, JsonNode listed) {
        if (order.content() instanceof OrderContent.ReleaseUpstreams content) {
            boolean kept = false;
            for (JsonNode one : listed) {
                kept |= one.path("order_id").asText("").equals(content.placedOrder())
                        && !one.path("state").asText("").equals("released");
            }
            return kept ? Progress.NOT_RECEIVED : Progress.DONE;
        }
        for (JsonNode one : listed) {
            if (one.path("token").asText("").equals(order.id().value())) {
                return Progress.DONE;
            }
        }
        return Progress.NOT_RECEIVED;
    }

    private static String pathOf(Order order) {
        return "/v1/failure-domains/" + order.target() + "/orders";
    }
}
