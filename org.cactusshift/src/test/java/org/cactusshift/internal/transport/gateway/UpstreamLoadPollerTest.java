package org.cactusshift.internal.transport.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.cactusshift.internal.coordination.configsync.ConfigSource;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.transport.http.ScriptedServer;
import org.junit.jupiter.api.Test;

class UpstreamLoadPollerTest {
    private static ConfigSource source(GatewayFixture gateway) {
        return new ConfigSource() {
            @Override
            public Optional<VersionedConfig> active() {
                return Optional.of(gateway.config);
            }

            @Override
            public void subscribe(Consumer<VersionedConfig> listener) {
                listener.accept(gateway.config);
            }
        };
    }

    private static boolean isRefused(GatewayFixture gateway) {
        try {
            return gateway.chat(false).statusCode() == 503;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void reportsLoadsAndCacheEventsAndExcludesDrainingOrUnresponsiveUpstreams() throws Exception {
        AtomicBoolean unresponsive = new AtomicBoolean();
        AtomicBoolean draining = new AtomicBoolean();
        try (ScriptedServer engine = ScriptedServer.start((request, socket, out) -> {
                    if (request.line().startsWith("GET /load") && !unresponsive.get()) {
                        String report = "{\"age_millis\":1,\"running\":3,\"epoch\":1,\"draining\":" + draining + "}";
                        ScriptedServer.writeResponse(out, 200, "", report);
                    } else if (request.line().startsWith("GET /cache-events?after=0 ")) {
                        ScriptedServer.writeResponse(
                                out,
                                200,
                                "",
                                "{\"next\":2,\"events\":[{\"sequence\":1,\"kind\":\"stored\",\"prefix\":"
                                        + "\"ffffffffffffffff\"},{\"sequence\":2,\"kind\":\"new\"}]}");
                    } else if (request.line().startsWith("GET /cache-events")) {
                        ScriptedServer.writeResponse(out, 200, "", "{\"next\":2,\"events\":[]}");
                    }
                });
                GatewayFixture gateway = GatewayFixture.withEngines(engine.address());
                UpstreamLoadPoller poller = UpstreamLoadPoller.start(
                        source(gateway), gateway.dispatch, gateway.pool, gateway.monotonicMillis, gateway.scheduler)) {
            GatewayFixture.await(() -> gateway.modelDispatcher().loads.size() >= 3);
            assertEquals(3, gateway.modelDispatcher().loads.get(0).running());
            GatewayFixture.await(() -> engine.receivedRequests().stream()
                    .anyMatch(request -> request.line().startsWith("GET /cache-events?after=2 ")));
            // The event of an unknown kind is skipped.
            assertEquals(1, gateway.modelDispatcher().cacheEvents.size());
            assertEquals(-1, gateway.modelDispatcher().cacheEvents.get(0).prefixHash());
            draining.set(true);
            GatewayFixture.await(() -> gateway.modelDispatcher().hasExcludedUpstream());
            draining.set(false);
            GatewayFixture.await(() -> !gateway.modelDispatcher().hasExcludedUpstream());
            unresponsive.set(true);
            GatewayFixture.await(() -> gateway.modelDispatcher().hasExcludedUpstream());
            assertTrue(isRefused(gateway));
            unresponsive.set(false);
            GatewayFixture.await(() -> !gateway.modelDispatcher().hasExcludedUpstream());
        }
    }
}
