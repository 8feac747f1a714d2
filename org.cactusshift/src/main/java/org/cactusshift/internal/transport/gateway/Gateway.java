package org.cactusshift.internal.transport.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.protocol.openai.ApiError;
import org.cactusshift.internal.protocol.openai.CompletionRequest;
import org.cactusshift.internal.protocol.openai.ModelList;
import org.cactusshift.internal.transport.http.HttpExchange;
import org.cactusshift.internal.transport.http.HttpHandler;
import org.cactusshift.internal.transport.http.HttpResponses;

/**
 * Handles the requests that callers send to a node: model requests in the OpenAI format, calls of plain services below
 * {@code /services/}, and health and readiness checks. Installed on an {@code HttpListener}.
 */
public final class Gateway implements HttpHandler {
    private static final System.Logger LOG = System.getLogger(Gateway.class.getName());
    private static final String MODELS_PATH = "/v1/models";

    private final GatewayDependencies dependencies;
    private final CallerAuthenticator authenticator;
    private final CompletionHandler completions;
    private final ServiceCallHandler services;

    private Gateway(GatewayDependencies dependencies) {
        this.dependencies = dependencies;
        this.authenticator = new CallerAuthenticator(dependencies.keyVerifier());
        this.completions = new CompletionHandler(dependencies, authenticator);
        this.services = new ServiceCallHandler(dependencies, authenticator);
    }

    /**
     * Creates the gateway.
     *
     * @param dependencies the gateway's collaborators
     * @return the gateway
     */
    public static Gateway create(GatewayDependencies dependencies) {
        return new Gateway(dependencies);
    }

    @Override
    public void handle(HttpExchange exchange) throws HttpException, IOException {
        if (exchange.path().equals("/healthz")) {
            exchange.submit(HttpResponses.json(HttpStatus.SC_OK, "{\"status\":\"ok\"}"));
        } else if (exchange.path().equals("/readyz")) {
            sendReadiness(exchange);
        } else {
            handleRequest(exchange);
        }
    }

    private void sendReadiness(HttpExchange exchange) throws HttpException, IOException {
        boolean configured = dependencies.config().active().isPresent();
        boolean ready = configured && dependencies.readiness().getAsBoolean();
        String reason = configured ? "the node is starting or shutting down" : "the node has no configuration";
        exchange.submit(
                ready
                        ? HttpResponses.json(HttpStatus.SC_OK, "{\"ready\":true}")
                        : HttpResponses.json(
                                HttpStatus.SC_SERVICE_UNAVAILABLE, "{\"ready\":false,\"reason\":\"" + reason + "\"}"));
    }

    private void handleRequest(HttpExchange exchange) throws HttpException, IOException {
        Optional<VersionedConfig> config = dependencies.config().active();
        if (config.isEmpty()) {
            Refusal refusal = Refusal.unavailable("no_configuration", "the node has no configuration yet");
            refuseWithoutConfig(exchange, refusal);
            return;
        }
        String name = exchange.method() + " " + spanRoute(exchange.path());
        GatewayRequest request =
                GatewayRequest.start(exchange, dependencies, config.get().config(), name);
        dependencies.metrics().requestOpened();
        try {
            route(request);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "request " + request.id() + " failed with an unexpected exception", e);
            if (exchange.isSubmitted()) {
                throw e;
            }
            request.refuse(new Refusal(
                    ApiError.of(500, "server_error", "internal_error", "the request failed unexpectedly"), true, 0));
        } finally {
            dependencies.metrics().requestClosed();
            request.span().end();
        }
    }

    private static void refuseWithoutConfig(HttpExchange exchange, Refusal refusal) throws HttpException, IOException {
        var response =
                HttpResponses.json(refusal.error().status(), refusal.error().toJson());
        response.setHeader(GatewayHeaders.OUTCOME, refusal.outcome());
        // One second, as for other refusals.
        response.setHeader(HttpHeaders.RETRY_AFTER, "1");
        exchange.submit(response);
    }

    /**
     * Returns the route that names a request's span. Service names are left out, and paths longer than that of chat
     * completions, so that callers can't create long span names.
     */
    private static String spanRoute(String path) {
        if (path.startsWith(ServicePath.PREFIX)) {
            return "/services/{service}";
        }
        return path.startsWith("/v1/")
                        && path.length() <= CompletionRequest.Kind.CHAT.path().length()
                ? path
                : "other";
    }

    private void route(GatewayRequest request) throws HttpException, IOException {
        String path = request.exchange().path();
        Optional<CompletionRequest.Kind> kind = completionKind(path);
        if (kind.isPresent()) {
            if (refuseUnlessMethod(request, "POST")) {
                completions.handle(request, kind.get());
            }
        } else if (path.equals(MODELS_PATH)) {
            if (refuseUnlessMethod(request, "GET")) {
                listModels(request);
            }
        } else if (path.startsWith(ServicePath.PREFIX)) {
            services.handle(request);
        } else {
            request.refuse(Refusal.of(
                    ApiError.of(404, ApiError.INVALID_REQUEST, "not_found", "there is nothing at this path")));
        }
    }

    private static Optional<CompletionRequest.Kind> completionKind(String path) {
        for (CompletionRequest.Kind kind : CompletionRequest.Kind.values()) {
            if (kind.path().equals(path)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /** Returns whether a request has the method; refuses it otherwise. */
    private static boolean refuseUnlessMethod(GatewayRequest request, String method) throws HttpException, IOException {
        if (request.exchange().method().equals(method)) {
            return true;
        }
        request.refuse(Refusal.of(ApiError.of(
                405, ApiError.INVALID_REQUEST, "method_not_allowed", "the path takes " + method + " only")));
        return false;
    }

    private void listModels(GatewayRequest request) throws HttpException, IOException {
        var caller = authenticator.authenticate(request.exchange(), null, request.receivedMillis());
        if (caller.isLeft()) {
            request.refuse(caller.getLeft());
            return;
        }
        List<String> names = request.site().services().stream()
                .filter(service -> service.kind() == ServiceConfig.Kind.MODEL)
                .filter(service -> CallerAuthenticator.mayCall(request.site(), caller.get(), service))
                .map(service -> service.id().value())
                .collect(Collectors.toList());
        request.respond(HttpResponses.json(HttpStatus.SC_OK, ModelList.toJson(names)));
    }
}
