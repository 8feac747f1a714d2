package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.zip.CRC32C;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.lease.RendezvousHash;
import org.cactusshift.internal.coordination.serving.KeyOwner;
import org.cactusshift.internal.coordination.serving.ServedRoute;
import org.cactusshift.internal.coordination.serving.ServingConfig;
import org.cactusshift.internal.coordination.serving.ServingRequest;

/** Checks requests of callers against the configuration in force and starts the allowed ones. */
public final class Relay implements CallerRequestHandler {
    /** Stands for the client account on routes that need no key. */
    private static final AccountId NO_ACCOUNT = AccountId.fromString("-");

    /** A caller that was refused since no configuration is known comes back after about a start. */
    private static final long CONFIG_WAIT_MILLIS = 500;

    private final RelayContext context;
    private final Supplier<Optional<ServingConfig>> config;

    private Relay(RelayContext context, Supplier<Optional<ServingConfig>> config) {
        this.context = context;
        this.config = config;
    }

    /**
     * Returns a relay.
     *
     * @param context what requests share
     * @param config the configuration in force, empty while none is known
     * @return the relay
     */
    public static Relay create(RelayContext context, Supplier<Optional<ServingConfig>> config) {
        return new Relay(context, config);
    }

    @Override
    public void onRequest(CallerExchange exchange) {
        HttpRequest head = exchange.request();
        Optional<ServingConfig> inForce = config.get();
        if (inForce.isEmpty()) {
            refuse(exchange, "-", HttpResponseStatus.SERVICE_UNAVAILABLE, "no configuration is known", 0);
            return;
        }
        ServingConfig serving = inForce.get();
        Optional<ServedRoute> found = serving.routes().find(head.headers().get(HttpHeaderNames.HOST), head.uri());
        if (found.isEmpty()) {
            refuse(exchange, "-", HttpResponseStatus.NOT_FOUND, "no route", serving.version());
            return;
        }
        RequestMetadata facts;
        try {
            facts = context.codec().readRequest(head);
        } catch (MalformedRequestException e) {
            refuse(exchange, "-", HttpResponseStatus.BAD_REQUEST, e.getMessage(), serving.version());
            return;
        }
        String id = facts.requestId().value();
        ServedRoute route = found.get();
        Optional<KeyOwner> owner = owner(serving, route, facts);
        if (owner.isEmpty() && needsKey(serving, route)) {
            refuse(exchange, id, HttpResponseStatus.UNAUTHORIZED, "the key is unknown", serving.version());
            return;
        }
        Optional<ServiceId> service = route.service((int) RendezvousHash.hash(id));
        if (service.isEmpty()) {
            refuse(exchange, id, HttpResponseStatus.SERVICE_UNAVAILABLE, "the route has no service", serving.version());
            return;
        }
        ServingRequest request = request(exchange, route, service.get(), owner, facts);
        context.retryBudgets().of(service.get()).onRequest(exchange.readAtMillis());
        new RelayedRequest(context, exchange, facts, request, owner.map(KeyOwner::account), serving.version()).start();
    }

    private static boolean needsKey(ServingConfig serving, ServedRoute route) {
        return serving.keyOwners().isPresent() && !route.open();
    }

    private static Optional<KeyOwner> owner(ServingConfig serving, ServedRoute route, RequestMetadata facts) {
        if (!needsKey(serving, route)) {
            return Optional.empty();
        }
        return serving.keyOwners().flatMap(owners -> facts.key().map(owners::get));
    }

    private static ServingRequest request(
            CallerExchange exchange,
            ServedRoute route,
            ServiceId service,
            Optional<KeyOwner> owner,
            RequestMetadata facts) {
        AccountId account = owner.map(KeyOwner::account).orElse(NO_ACCOUNT);
        int rank = owner.filter(known -> known.priority().isPresent())
                .map(known -> known.priority().getAsInt())
                .orElse(route.priority());
        long budgetMillis =
                Math.min(route.timeoutMillis(), facts.timeBudgetMillis().orElse(Long.MAX_VALUE));
        return new ServingRequest(
                facts.requestId(),
                account,
                route,
                service,
                rank,
                facts.prompt(),
                facts.outputTokens(),
                exchange.body().readableBytes(),
                exchange.readAtMillis(),
                exchange.readAtMillis() + budgetMillis,
                fingerprint(exchange, account));
    }

    private static long fingerprint(CallerExchange exchange, AccountId account) {
        CRC32C checksum = new CRC32C();
        checksum.update(exchange.body().nioBuffer());
        String start = exchange.request().method() + " " + exchange.request().uri() + " " + account.value() + " ";
        return RendezvousHash.hash(start + checksum.getValue());
    }

    private void refuse(CallerExchange exchange, String id, HttpResponseStatus status, String reason, long version) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            context.codec().writeRetryAfter(headers, CONFIG_WAIT_MILLIS);
        }
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        context.log()
                .event("request.refused")
                .with("request", id)
                .with("status", status.code())
                .with("reason", reason)
                .with("configVersion", version)
                .write();
        context.metrics().onRequest("-", "refused");
        exchange.answer(status, headers, (reason + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
