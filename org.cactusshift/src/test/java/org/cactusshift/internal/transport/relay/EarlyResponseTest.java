package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cactusshift.errors.Failure;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response that was broken off while its request was still being written and passes for complete. */
class EarlyResponseTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpConnectionPool pool = HttpConnectionPool.create(group, RelayClock.system());

    @AfterEach
    void endEventLoop() {
        group.shutdownGracefully();
    }

    /** Responds to one connection after the first byte of its request, of which no more is read. */
    private static void serve(ServerSocket listener, String response, boolean reset, long pauseMillis) {
        try (Socket socket = listener.accept()) {
            socket.getInputStream().read();
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(pauseMillis);
            if (reset) {
                socket.setSoLinger(true, 0);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private Either<Failure, HttpServiceClient.Response> call(
            int uploadBytes, String response, boolean reset, long pauseMillis) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            new Thread(() -> serve(listener, response, reset, pauseMillis), "server").start();
            HttpServiceClient client =
                    HttpServiceClient.create(pool, (EventLoop) group.next(), "127.0.0.1:" + listener.getLocalPort());
            CompletableFuture<Either<Failure, HttpServiceClient.Response>> outcome = new CompletableFuture<>();
            group.next()
                    .execute(() -> client.call(
                            "upload",
                            HttpMethod.POST,
                            "/x",
                            new DefaultHttpHeaders(),
                            new byte[uploadBytes],
                            TIMEOUT_MILLIS,
                            outcome::complete));
            return outcome.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * The rows: bytes of the request, framing, reset or orderly close, and the pause between response and end. With an
     * orderly close the request exceeds the socket buffers, as the client can't tell otherwise that it was not read.
     */
    @ParameterizedTest
    @CsvSource({
        "1, '', true, 30",
        "1000, '', true, 0",
        "65536, '', true, 30",
        "1048576, '', true, 30",
        "3000000, '', true, 0",
        "3000000, '', true, 30",
        "16000000, '', true, 30",
        "16000000, '', false, 0",
        "16000000, '', false, 30",
        "3000000, Content-Length: 100, true, 0",
        "3000000, Content-Length: 100, false, 30",
        "3000000, Transfer-Encoding: chunked, true, 0",
        "3000000, Transfer-Encoding: chunked, false, 30"
    })
    void brokenEarlyResponseFails(int uploadBytes, String framing, boolean reset, long pauseMillis) throws Exception {
        String body = framing.startsWith("T") ? "4\r\nhalf\r\n" : "half";
        String header = framing.isEmpty() ? "" : framing + "\r\n";
        Either<Failure, HttpServiceClient.Response> outcome =
                call(uploadBytes, "HTTP/1.1 200 OK\r\n" + header + "\r\n" + body, reset, pauseMillis);
        assertTrue(outcome.isLeft(), outcome::toString);
        assertEquals(Failure.Kind.UNKNOWN_EFFECT, outcome.getLeft().kind());
    }

    /** Guards against a complete refusal that is lost, because writing the rest of its request fails first. */
    @ParameterizedTest
    @CsvSource({
        "400, Content-Length: 4, true, 0",
        "413, Content-Length: 4, false, 0",
        "413, Transfer-Encoding: chunked, true, 30",
        "503, Content-Length: 4, true, 30",
        "503, Transfer-Encoding: chunked, false, 30"
    })
    void completeEarlyResponseIsValid(int status, String framing, boolean reset, long pauseMillis) throws Exception {
        String body = framing.startsWith("T") ? "4\r\nfull\r\n0\r\n\r\n" : "full";
        String response = "HTTP/1.1 " + status + " X\r\n" + framing + "\r\n\r\n" + body;
        for (int i = 0; i < 20; i++) {
            Either<Failure, HttpServiceClient.Response> outcome = call(3_000_000, response, reset, pauseMillis);
            assertTrue(outcome.isRight(), outcome::toString);
            assertEquals(status, outcome.get().status());
            assertEquals("full", new String(outcome.get().body(), StandardCharsets.US_ASCII));
        }
    }

    /** Guards against a response whose status HTTP does not define, and a switch that no request asks for. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000",
                "000 X\r\nContent-Length: 4",
                "000 OK\r\nTransfer-Encoding: chunked",
                "099 X\r\nContent-Length: 4",
                "600 X\r\nContent-Length: 4",
                "999 X",
                "101 Switching Protocols\r\nUpgrade: x",
                "200 OK\r\nContent-Length: 4\r\nContent-Length: 5",
                "200 OK\r\nContent-Length: -4"
            })
    void responseWithAnInvalidHeadFails(String start) throws Exception {
        String body = start.contains("chunked") ? "4\r\nfull\r\n0\r\n\r\n" : "full";
        Either<Failure, HttpServiceClient.Response> outcome =
                call(1, "HTTP/1.1 " + start + "\r\n\r\n" + body, false, 0);
        assertTrue(outcome.isLeft(), outcome::toString);
    }
}
