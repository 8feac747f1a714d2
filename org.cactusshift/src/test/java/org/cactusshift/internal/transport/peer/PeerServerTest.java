package org.cactusshift.internal.transport.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.transport.tls.TlsContext;
import org.cactusshift.internal.transport.tls.TlsFiles;
import org.cactusshift.messages.ClaimRequest;
import org.cactusshift.messages.ClaimResponse;
import org.cactusshift.messages.ConfigVersion;
import org.cactusshift.messages.DrainRequest;
import org.cactusshift.messages.DrainStatus;
import org.cactusshift.messages.FetchConfigRequest;
import org.cactusshift.messages.FetchConfigResponse;
import org.cactusshift.messages.HeartbeatRequest;
import org.cactusshift.messages.HeartbeatResponse;
import org.cactusshift.messages.RecordOutcomeRequest;
import org.cactusshift.messages.RecordOutcomeResponse;
import org.cactusshift.messages.UsageAck;
import org.cactusshift.messages.UsageBatch;
import org.cactusshift.messages.WatchConfigRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link PeerServer} and {@link PeerClient}. */
class PeerServerTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);

    @AfterEach
    void stopExecutors() {
        executor.shutdownNow();
        scheduler.shutdownNow();
    }

    @ParameterizedTest
    @CsvSource({
        // server, client, accepted; none is plain text, which is accepted only if both sides use it
        "node-a, node-b, true",
        "node-a, stranger, false",
        "stranger, node-a, false",
        "node-a, none, false",
        "none, node-a, false",
        "none, none, true",
    })
    void respondsOnlyToPeersWithATrustedCertificate(String serverIdentity, String clientIdentity, boolean accepted) {
        try (PeerServer server = start(serverIdentity);
                PeerClient client = PeerClient.create(tls(clientIdentity), executor)) {
            Either<Failure, HeartbeatResponse> response = heartbeat(client, server.port(), 7);

            assertEquals(accepted, response.isRight(), response.toString());
            response.forEach(r -> assertEquals(7, r.getSequence()));
        }
    }

    @Test
    void reportsAnUnknownEffectForAPeerThatHasStopped() {
        PeerServer server = start("none");
        int port = server.port();
        server.close();
        try (PeerClient client = PeerClient.create(Optional.empty(), executor)) {
            Failure failure = heartbeat(client, port, 1).getLeft();

            assertEquals(Failure.Kind.UNKNOWN_EFFECT, failure.kind());
            assertEquals("127.0.0.1:" + port, failure.peer());
            assertEquals("heartbeat", failure.step());
        }
    }

    @Test
    void reportsARejectedRequestWithItsReason() {
        try (PeerServer server = start("none");
                PeerClient client = PeerClient.create(Optional.empty(), executor)) {
            Failure failure = client.call(
                            "127.0.0.1:" + server.port(),
                            "drain",
                            TIMEOUT_MILLIS,
                            stub -> stub.acknowledgeDrain(DrainRequest.newBuilder()
                                    .setUpstreamId("no such")
                                    .build()))
                    .getLeft();

            assertEquals(Failure.Kind.REJECTED, failure.kind());
            assertTrue(failure.message().contains("no such"), failure.message());
        }
    }

    private Either<Failure, HeartbeatResponse> heartbeat(PeerClient client, int port, long sequence) {
        HeartbeatRequest request =
                HeartbeatRequest.newBuilder().setSequence(sequence).build();
        return client.call("127.0.0.1:" + port, "heartbeat", TIMEOUT_MILLIS, stub -> stub.heartbeat(request));
    }

    private PeerServer start(String identity) {
        PeerServer server = PeerServer.start(new InetSocketAddress("127.0.0.1", 0), tls(identity), executor)
                .get();
        server.registerHandler(new EchoHandler());
        return server;
    }

    private Optional<TlsContext> tls(String identity) {
        if (identity.equals("none")) {
            return Optional.empty();
        }
        return Optional.of(
                TlsContext.load(TlsFiles.settings(identity), scheduler).get());
    }

    /** Echoes the sequence number of each heartbeat and rejects drains. */
    private static final class EchoHandler implements PeerRequestHandler {
        @Override
        public HeartbeatResponse heartbeat(HeartbeatRequest request) {
            return HeartbeatResponse.newBuilder()
                    .setSequence(request.getSequence())
                    .build();
        }

        @Override
        public FetchConfigResponse fetchConfig(FetchConfigRequest request) {
            return FetchConfigResponse.getDefaultInstance();
        }

        @Override
        public Runnable watchConfig(WatchConfigRequest request, Consumer<ConfigVersion> sink) {
            return () -> {};
        }

        @Override
        public ClaimResponse claim(ClaimRequest request) {
            return ClaimResponse.getDefaultInstance();
        }

        @Override
        public RecordOutcomeResponse recordOutcome(RecordOutcomeRequest request) {
            return RecordOutcomeResponse.getDefaultInstance();
        }

        @Override
        public UsageAck handOverUsage(UsageBatch batch) {
            return UsageAck.getDefaultInstance();
        }

        @Override
        public DrainStatus acknowledgeDrain(DrainRequest request) {
            throw new IllegalArgumentException("unknown upstream " + request.getUpstreamId());
        }
    }
}
