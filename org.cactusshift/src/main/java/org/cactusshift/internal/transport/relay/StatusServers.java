package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cactusshift.internal.coordination.serving.CallerLimits;

/** The servers of a node for the readiness checks of the load balancer and for its metrics. */
final class StatusServers {
    private static final String METRICS_PATH = "/metrics";

    private final CallerServer readinessServer;
    private final CallerServer metricsServer;

    private StatusServers(CallerServer readinessServer, CallerServer metricsServer) {
        this.readinessServer = readinessServer;
        this.metricsServer = metricsServer;
    }

    /**
     * Returns servers that do not listen yet.
     *
     * @param runtime the event loop, clock and log
     * @param memory the limits that all servers of the node share
     * @param readinessPath the path of the readiness check
     * @param isReady whether the check succeeds
     * @param metricsText supplies the metrics in the Prometheus text format
     */
    static StatusServers create(
            NodeRuntime runtime,
            CallerMemory memory,
            String readinessPath,
            BooleanSupplier isReady,
            Supplier<byte[]> metricsText) {
        CallerServer readiness = singlePathServer(runtime, memory, readinessPath, exchange -> {
            HttpResponseStatus status =
                    isReady.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            exchange.respond(status, new DefaultHttpHeaders(), new byte[0]);
        });
        CallerServer metrics = singlePathServer(runtime, memory, METRICS_PATH, exchange -> {
            DefaultHttpHeaders headers = new DefaultHttpHeaders();
            headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8");
            exchange.respond(HttpResponseStatus.OK, headers, metricsText.get());
        });
        return new StatusServers(readiness, metrics);
    }

    private static CallerServer singlePathServer(
            NodeRuntime runtime, CallerMemory memory, String path, CallerRequestHandler handler) {
        CallerRequestHandler handlerOrNotFound = exchange -> {
            if (exchange.request().uri().equals(path)) {
                handler.onRequest(exchange);
            } else {
                exchange.respond(HttpResponseStatus.NOT_FOUND, new DefaultHttpHeaders(), new byte[0]);
            }
        };
        return CallerServer.create(
                runtime.group(),
                runtime.clock(),
                () -> CallerLimits.DEFAULT,
                handlerOrNotFound,
                CallerServer.RequestNaming.NONE,
                runtime.log(),
                memory);
    }

    void listen(InetSocketAddress readinessAddress, InetSocketAddress metricsAddress) throws InterruptedException {
        readinessServer.listen(readinessAddress);
        metricsServer.listen(metricsAddress);
    }

    void closeExpired(long nowMillis) {
        readinessServer.closeExpired(nowMillis);
        metricsServer.closeExpired(nowMillis);
    }

    int readinessPort() {
        return readinessServer.port();
    }

    int metricsPort() {
        return metricsServer.port();
    }
}
