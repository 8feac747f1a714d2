package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.zip.CRC32C;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.lease.RendezvousHash;
import org.cactusshift.internal.coordination.quota.AccountQuota;
import org.cactusshift.internal.coordination.serving.KeyOwner;
import org.cactusshift.internal.coordination.serving.RetryAfterPolicy;
import org.cactusshift.internal.coordination.serving.ServedRoute;
import org.cactusshift.internal.coordination.serving.ServingConfig;
import org.cactusshift.internal.coordination.serving.ServingRequest;

/** Checks requests of callers against the active configuration and starts those that it allows. */
public final class Relay implements CallerRequestHandler {
    /** Stands for the client account on routes that need no key. */
    private static final AccountId ANONYMOUS_ACCOUNT = AccountId.fromString("-");

    /**
     * Retry-After of a request that is refused with status 503, for example because no configuration has been read yet;
     * about the time that a start takes.
     */
    private static final long UNAVAILABLE_RETRY_AFTER_MILLIS = 500;

    private static final String OVER_QUOTA = "the quota of the account is used up";

    private final RelayContext context;
    private final Supplier<Optional<ServingConfig>> config;
    private final QuotaExchange quotas;

    private Relay(RelayContext context, Supplier<Optional<ServingConfig>> config, QuotaExchange quotas) {
        this.context = context;
        this.config = config;
        this.quotas = quotas;
    }

    /**
     * Returns a relay.
     *
     * @param context the collaborators that all requests share
     * @param config supplies the active configuration, empty while none has been read
     * @param quotas checks the requests of limited accounts
     * @return the relay
     */
    static Relay create(RelayContext context, Supplier<Optional<ServingConfig>> config, QuotaExchange quotas) {
        return new Relay(context, config, quotas);
    }

    @Override
    public void onRequest(CallerExchange exchange) {
        HttpRequest head = exchange.request();
        Optional<ServingConfig> activeConfig = config.get();
        if (activeConfig.isEmpty()) {
            refuse(exchange, "-", HttpResponseStatus.SERVICE_UNAVAILABLE, "no configuration is known", 0);
            return;
        }
        ServingConfig serving = activeConfig.get();
        Optional<ServedRoute> matchedRoute =
                serving.routes().find(head.headers().get(HttpHeaderNames.HOST), head.uri());
        if (matchedRoute.isEmpty()) {
            refuse(exchange, "-", HttpResponseStatus.NOT_FOUND, "no route", serving.version());
            return;
        }
        RequestMetadata metadata;
        try {
            metadata = context.codec().readRequest(head);
        } catch (MalformedRequestException e) {
            refuse(exchange, "-", HttpResponseStatus.BAD_REQUEST, e.getMessage(), serving.version());
            return;
        }
        String id = metadata.requestId().value();
        ServedRoute route = matchedRoute.get();
        Optional<KeyOwner> owner = keyOwner(serving, route, metadata);
        if (owner.isEmpty() && needsKey(serving, route)) {
            refuse(exchange, id, HttpResponseStatus.UNAUTHORIZED, "the key is unknown", serving.version());
            return;
        }
        Optional<ServiceId> service = route.selectService((int) RendezvousHash.hash(id));
        if (service.isEmpty()) {
            refuse(exchange, id, HttpResponseStatus.SERVICE_UNAVAILABLE, "the route has no service", serving.version());
            return;
        }
        int priority = owner.filter(keyOwner -> keyOwner.priority().isPresent())
                .map(keyOwner -> keyOwner.priority().getAsInt())
                .orElse(route.priority());
        long budgetMillis =
                Math.min(route.timeoutMillis(), metadata.timeBudgetMillis().orElse(Long.MAX_VALUE));
        TimeSpan time = new TimeSpan(exchange.receivedAtMillis(), exchange.receivedAtMillis() + budgetMillis);
        Optional<AccountId> account = owner.map(KeyOwner::account);
        ServingRequest request = request(exchange, route, service.get(), account, priority, metadata, time);
        if (!request.fitsAnEngine(Optional.ofNullable(serving.services().get(service.get())))) {
            refuseTooLarge(exchange, request, serving.version());
            return;
        }
        AccountQuota quota = account.map(serving.quotas()::get).orElse(null);
        if (quota == null) {
            start(exchange, metadata, request, new RequestOrigin(account, serving.version(), QuotaCharge.NONE, false));
            return;
        }
        quotas.check(account.get(), quota, metadata.countedTokens(), new QuotaExchange.Receiver() {
            @Override
            public void onAdmitted(QuotaCharge charge) {
                if (exchange.isEnded()) {
                    charge.giveBack();
                } else {
                    start(exchange, metadata, request, new RequestOrigin(account, serving.version(), charge, false));
                }
            }

            @Override
            public void onRefused(long retryAfterMillis) {
                refuseOverQuota(exchange, id, serving.version(), retryAfterMillis);
            }
        });
    }

    private void start(
            CallerExchange exchange, RequestMetadata metadata, ServingRequest request, RequestOrigin origin) {
        // Refused requests must not increase the budget.
        context.retryBudgets().of(request.service()).onRequest(context.clock().monotonicMillis());
        new RelayedRequest(context, exchange, metadata, request, origin).start();
    }

    /** Refuses a request that no engine has the memory for; a retry within its time budget would bring nothing. */
    private void refuseTooLarge(CallerExchange exchange, ServingRequest request, long version) {
        String reason = "the request has more tokens than an engine has memory for";
        context.log()
                .event("request.refused")
                .with("request", request.id().value())
                .with("status", HttpResponseStatus.SERVICE_UNAVAILABLE.code())
                .with("reason", reason)
                .with("tokens", request.heldTokens(false))
                .with("configVersion", version)
                .write();
        context.metrics().onRequestEnded(request.route().kind().name(), "refused");
        long budgetMillis = request.deadlineMillis() - request.arrivedAtMillis();
        PlainTextResponse.refuse(exchange, context.codec(), reason, budgetMillis);
    }

    private void refuseOverQuota(CallerExchange exchange, String id, long version, long retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        context.codec()
                .writeRetryAfter(headers, RetryAfterPolicy.retryAfterWaitMillis(retryAfterMillis, context.random()));
        refuse(exchange, id, HttpResponseStatus.TOO_MANY_REQUESTS, headers, OVER_QUOTA, version);
    }

    private static boolean needsKey(ServingConfig serving, ServedRoute route) {
        return serving.keyOwners().isPresent() && !route.open();
    }

    /** Returns the owner of the API key; empty when the route needs no key, or the key is missing or unknown. */
    private static Optional<KeyOwner> keyOwner(ServingConfig serving, ServedRoute route, RequestMetadata metadata) {
        if (!needsKey(serving, route)) {
            return Optional.empty();
        }
        return serving.keyOwners().flatMap(owners -> metadata.apiKey().map(owners::get));
    }

    /**
     * When a request arrived and when its response is due, in monotonic time.
     *
     * @param arrivedAtMillis when it had been received completely
     * @param deadlineMillis when the response must have ended
     */
    record TimeSpan(long arrivedAtMillis, long deadlineMillis) {}

    /** Returns the properties of a request on which its placement depends. */
    static ServingRequest request(
            CallerExchange exchange,
            ServedRoute route,
            ServiceId service,
            Optional<AccountId> knownAccount,
            int priority,
            RequestMetadata metadata,
            TimeSpan time) {
        AccountId account = knownAccount.orElse(ANONYMOUS_ACCOUNT);
        return new ServingRequest(
                metadata.requestId(),
                account,
                route,
                service,
                priority,
                metadata.prompt(),
                metadata.expectedOutputTokens(),
                exchange.body().readableBytes(),
                time.arrivedAtMillis(),
                time.deadlineMillis(),
                fingerprint(exchange, account));
    }

    /** Returns a hash that is equal for requests with the same method, target, client account and body. */
    private static long fingerprint(CallerExchange exchange, AccountId account) {
        CRC32C checksum = new CRC32C();
        checksum.update(exchange.body().nioBuffer());
        String prefix = exchange.request().method() + " " + exchange.request().uri() + " " + account.value() + " ";
        return RendezvousHash.hash(prefix + checksum.getValue());
    }

    /** Refuses a request before it is placed; in the log and the metrics "-" stands for an unknown id or kind. */
    private void refuse(CallerExchange exchange, String id, HttpResponseStatus status, String reason, long version) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            context.codec().writeRetryAfter(headers, UNAVAILABLE_RETRY_AFTER_MILLIS);
        }
        refuse(exchange, id, status, headers, reason, version);
    }

    private void refuse(
            CallerExchange exchange,
            String id,
            HttpResponseStatus status,
            HttpHeaders headers,
            String reason,
            long version) {
        context.log()
                .event("request.refused")
                .with("request", id)
                .with("status", status.code())
                .with("reason", reason)
                .with("configVersion", version)
                .write();
        context.metrics().onRequestEnded("-", "refused");
        PlainTextResponse.send(exchange, status, headers, reason);
    }
}
