package org.cactusshift.internal.transport.gateway;

import io.vavr.control.Either;
import java.util.Optional;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.key.KeyVerdict;
import org.cactusshift.internal.coordination.key.KeyVerifier;
import org.cactusshift.internal.protocol.openai.ApiError;
import org.cactusshift.internal.transport.http.HttpExchange;

/** Identifies callers by their keys and checks whether they may call a service. */
final class CallerAuthenticator {
    private static final String BEARER = "Bearer ";

    private final KeyVerifier keys;

    CallerAuthenticator(KeyVerifier keys) {
        this.keys = keys;
    }

    /** Identifies the caller of a request to a service; if the service is null, a request without a key is refused. */
    Either<Refusal, Caller> authenticate(HttpExchange exchange, ServiceConfig service, long nowMillis) {
        KeyVerdict verdict = keys.verify(bearerToken(exchange), nowMillis);
        return switch (verdict.status()) {
            case ACCEPTED -> Either.right(new Caller(verdict.account().orElseThrow(), verdict.key()));
            case MISSING ->
                service != null && service.openRoute()
                        ? Either.right(Caller.anonymous())
                        : Either.left(unauthorized("missing_api_key", "no key was presented"));
            case INVALID -> Either.left(unauthorized("invalid_api_key", "the key is not valid"));
            case STALE_VIEW ->
                Either.left(Refusal.unavailable("keys_not_fresh", "this node can't verify keys at present"));
        };
    }

    private static Optional<String> bearerToken(HttpExchange exchange) {
        // Another scheme is passed on whole, so that it counts as an invalid key and not as a missing one.
        return exchange.header("authorization")
                .map(value -> startsWithBearer(value)
                        ? value.substring(BEARER.length()).trim()
                        : value);
    }

    private static boolean startsWithBearer(String value) {
        return value.regionMatches(true, 0, BEARER, 0, BEARER.length());
    }

    private static Refusal unauthorized(String code, String message) {
        return Refusal.of(ApiError.of(401, ApiError.INVALID_REQUEST, code, message));
    }

    static Optional<ServiceConfig> findService(SiteConfig site, String name, ServiceConfig.Kind kind) {
        return site.services().stream()
                .filter(service ->
                        service.kind() == kind && service.id().value().equals(name))
                .findFirst();
    }

    /** Returns whether a caller may call a service. */
    static boolean mayCall(SiteConfig site, Caller caller, ServiceConfig service) {
        return service.openRoute() || isGranted(site, caller.account(), service.id());
    }

    private static boolean isGranted(SiteConfig site, AccountId account, ServiceId service) {
        return site.accounts().stream()
                .filter(config -> config.id().equals(account))
                .findFirst()
                .map(AccountConfig::services)
                .map(services -> services.contains(service))
                .orElse(false);
    }
}
