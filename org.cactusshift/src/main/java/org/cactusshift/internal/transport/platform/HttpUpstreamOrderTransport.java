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
 * Sends orders for new upstreams and for their release to the platform's ordering interface over HTTP.
 *
 * <p>The order id is sent as the token that makes a repeated order idempotent. The progress of an order is read from
 * the list of orders at the interface.
 */
public final class HttpUpstreamOrderTransport implements OrderTransport {
    private static final String SEND_STEP = "send upstream order";
    private static final String READ_STEP = "list upstream orders";
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_CONFLICT = 409;

    private final PlatformHttpClient client;

    private HttpUpstreamOrderTransport(PlatformHttpClient client) {
        this.client = Objects.requireNonNull(client, "client");
    }

    /**
     * Creates a transport.
     *
     * @param client makes the HTTP calls
     * @return the transport
     */
    public static HttpUpstreamOrderTransport create(PlatformHttpClient client) {
        return new HttpUpstreamOrderTransport(client);
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
            return client.post(SEND_STEP, order.address(), pathOf(order), PlatformJson.write(body))
                    .flatMap(response -> toSendResult(order, response));
        }
        if (order.content() instanceof OrderContent.ReleaseUpstreams content) {
            String path = pathOf(order) + "/" + content.placedOrder() + "?token="
                    + order.id().value();
            return client.delete(SEND_STEP, order.address(), path).flatMap(response -> toSendResult(order, response));
        }
        return Either.left(Failure.noEffect(SEND_STEP, order.target(), "order neither places nor releases upstreams"));
    }

    private static Either<Failure, SendResult> toSendResult(Order order, PlatformResponse response) {
        // Not found counts as accepted; for a release it means that the placed order no longer exists. Progress is read
        // from the list.
        if (response.isSuccess() || response.status() == STATUS_NOT_FOUND) {
            return Either.right(SendResult.ACCEPTED);
        }
        boolean refused = response.status() == STATUS_BAD_REQUEST
                || (response.status() == STATUS_CONFLICT
                        && PlatformJson.errorCode(response.body()).equals("unavailable"));
        return refused
                ? Either.right(SendResult.REFUSED)
                : Either.left(Failure.unknownEffect(SEND_STEP, order.target(), "status " + response.status()));
    }

    @Override
    public Either<Failure, Progress> progress(Order order) {
        return client.get(READ_STEP, order.address(), pathOf(order)).flatMap(response -> {
            JsonNode orders = PlatformJson.read(response.body()).path("orders");
            return response.isSuccess() && orders.isArray()
                    ? Either.right(toProgress(order, orders))
                    : Either.left(Failure.noEffect(
                            READ_STEP,
                            order.target(),
                            "unsuccessful or malformed response, status " + response.status()));
        });
    }

    private static Progress toProgress(Order order, JsonNode listed) {
        if (order.content() instanceof OrderContent.ReleaseUpstreams content) {
            // A release is done once the placed order is no longer listed or is listed as released; until then it
            // counts as not received.
            boolean stillPlaced = false;
            for (JsonNode entry : listed) {
                stillPlaced |= entry.path("order_id").asText("").equals(content.placedOrder())
                        && !entry.path("state").asText("").equals("released");
            }
            return stillPlaced ? Progress.NOT_RECEIVED : Progress.DONE;
        }
        // An order for upstreams is done once it is listed, whatever its state.
        for (JsonNode entry : listed) {
            if (entry.path("token").asText("").equals(order.id().value())) {
                return Progress.DONE;
            }
        }
        return Progress.NOT_RECEIVED;
    }

    private static String pathOf(Order order) {
        return "/v1/failure-domains/" + order.target() + "/orders";
    }
}
