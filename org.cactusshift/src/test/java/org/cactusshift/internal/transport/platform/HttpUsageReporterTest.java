package org.cactusshift.internal.transport.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.io.CloseMode;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.usage.SealedWindow;
import org.cactusshift.internal.coordination.usage.UsageReporter.Receipt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpUsageReporterTest {
    private static final SealedWindow WINDOW = new SealedWindow("be-coast.0.5000", "{\"window\":\"be-coast.0.5000\"}");

    @ParameterizedTest
    @CsvSource({"200,RECORDED", "409,CONFLICT", "503,UNKNOWN_EFFECT"})
    void responseStatusDeterminesTheReceipt(int status, String expected) throws IOException {
        AtomicReference<String> receivedRequest = new AtomicReference<>();
        HttpServer server = ServerBootstrap.bootstrap()
                .setLocalAddress(InetAddress.getLoopbackAddress())
                .setCanonicalHostName("127.0.0.1")
                .setListenerPort(0)
                .register("/v1/usage-windows/*", (request, response, context) -> {
                    receivedRequest.set(request.getPath() + " " + EntityUtils.toString(request.getEntity()));
                    response.setCode(status);
                })
                .create();
        server.start();
        try (PlatformHttpClient client = PlatformHttpClient.create(2_000)) {
            Either<Failure, Receipt> receipt = HttpUsageReporter.create(client, "127.0.0.1:" + server.getLocalPort())
                    .report(WINDOW);
            assertEquals(expected, receipt.fold(failure -> failure.kind().name(), Receipt::name));
            assertEquals("/v1/usage-windows/be-coast.0.5000 " + WINDOW.report(), receivedRequest.get());
        } finally {
            server.close(CloseMode.IMMEDIATE);
        }
    }

    @Test
    void anUnresponsiveInterfaceGivesAnUnknownEffect() throws IOException {
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                PlatformHttpClient client = PlatformHttpClient.create(200)) {
            Either<Failure, Receipt> receipt = HttpUsageReporter.create(
                            client, "127.0.0.1:" + unresponsive.getLocalPort())
                    .report(WINDOW);
            assertEquals(Failure.Kind.UNKNOWN_EFFECT, receipt.getLeft().kind());
        }
    }

    @Test
    void aRefusedConnectionHasNoEffect() throws IOException {
        int port;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = closed.getLocalPort();
        }
        try (PlatformHttpClient client = PlatformHttpClient.create(200)) {
            Either<Failure, Receipt> receipt =
                    HttpUsageReporter.create(client, "127.0.0.1:" + port).report(WINDOW);
            assertEquals(Failure.Kind.NO_EFFECT, receipt.getLeft().kind());
        }
    }
}
