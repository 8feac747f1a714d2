package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.cactusshift.internal.coordination.serving.PeerToken;
import org.cactusshift.internal.coordination.serving.ServingRequest;

/**
 * Serves requests that peers pass on because they reach no upstream. Such a request is never passed on again.
 *
 * <p>A refusal without a time to retry after says that this node has not taken the request, so that the peer can pass
 * it to another one.
 */
final class PeerRequestHandler implements CallerRequestHandler {
    /** Further requests are not taken, so that a node which carries others keeps room for its own callers. */
    private static final int MAXIMUM_OPEN_REQUESTS = 128;

    private final RelayContext context;
    private final PeerToken token;
    private final IntSupplier openRequests;

    private PeerRequestHandler(RelayContext context, PeerToken token, IntSupplier openRequests) {
        this.context = context;
        this.token = token;
        this.openRequests = openRequests;
    }

    /** Returns a handler of requests with a token; {@code openRequests} supplies the number of those in progress. */
    static PeerRequestHandler create(RelayContext context, PeerToken token, IntSupplier openRequests) {
        return new PeerRequestHandler(context, token, openRequests);
    }

    @Override
    public void onRequest(CallerExchange exchange) {
        HttpHeaders headers = exchange.request().headers();
        if (!token.matches(PassedRequest.removeToken(headers))) {
            refuse(exchange, HttpResponseStatus.FORBIDDEN, "the token is not that of this node");
            return;
        }
        Optional<PassedRequest> passed = PassedRequest.removeFrom(headers);
        if (passed.isEmpty()) {
            refuse(exchange, HttpResponseStatus.BAD_REQUEST, "the description of the request is malformed");
        } else if (context.reachability().isUnreachable(passed.get().service())) {
            refuse(exchange, HttpResponseStatus.SERVICE_UNAVAILABLE, "this node reaches no upstream either");
        } else if (openRequests.getAsInt() > MAXIMUM_OPEN_REQUESTS) {
            refuse(exchange, HttpResponseStatus.SERVICE_UNAVAILABLE, "this node takes no more requests of peers");
        } else {
            serve(exchange, passed.get());
        }
    }

    private void serve(CallerExchange exchange, PassedRequest passed) {
        RequestMetadata metadata;
        try {
            metadata = context.codec().readRequest(exchange.request());
        } catch (MalformedRequestException e) {
            refuse(exchange, HttpResponseStatus.BAD_REQUEST, e.getMessage());
            return;
        }
        ServingRequest request = Relay.request(
                exchange,
                passed.route(),
                passed.service(),
                passed.account(),
                passed.priority(),
                metadata,
                new Relay.TimeSpan(
                        exchange.receivedAtMillis() - passed.elapsedMillis(),
                        exchange.receivedAtMillis() + passed.remainingMillis()));
        // The retry budget and the quota count the request at the node that the caller chose.
        RequestOrigin origin = new RequestOrigin(passed.account(), passed.configVersion(), QuotaCharge.NONE, true);
        new RelayedRequest(context, exchange, metadata, request, origin).start();
    }

    private void refuse(CallerExchange exchange, HttpResponseStatus status, String reason) {
        context.log()
                .event("peer.requestRefused")
                .with("status", status.code())
                .with("reason", reason)
                .write();
        PlainTextResponse.send(exchange, status, new DefaultHttpHeaders(), reason);
    }
}
