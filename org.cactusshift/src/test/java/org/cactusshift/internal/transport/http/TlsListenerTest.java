package org.cactusshift.internal.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import org.apache.hc.core5.http.ContentType;
import org.cactusshift.internal.transport.tls.TlsContext;
import org.cactusshift.internal.transport.tls.TlsFiles;
import org.junit.jupiter.api.Test;

class TlsListenerTest {
    // header bytes, body bytes, connections; header, write and keep-alive timeouts in ms
    private static final ListenerSettings SETTINGS = new ListenerSettings(2048, 1000, 8, 60_000, 60_000, 60_000);
    private static final ListenerSettings SHORT_HEADER_TIMEOUT =
            new ListenerSettings(2048, 1000, 8, 300, 60_000, 60_000);

    @Test
    void readsTheTlsContextForEachConnection() throws Exception {
        ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
        AtomicInteger readCount = new AtomicInteger();
        AtomicReference<ListenerSettings> settings = new AtomicReference<>(SETTINGS);
        try (TlsContext server =
                        TlsContext.load(TlsFiles.settings("node-a"), scheduler).get();
                TlsContext client =
                        TlsContext.load(TlsFiles.settings("node-b"), scheduler).get();
                HttpListener listener = HttpListener.open(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        settings::get,
                        exchange -> exchange.submit(HttpResponses.of(200, ContentType.TEXT_PLAIN, exchange.body())),
                        () -> {
                            readCount.incrementAndGet();
                            return server.sslContext().get();
                        })) {
            SSLContext clientContext = client.sslContext().get();
            for (int i = 1; i <= 2; i++) {
                assertTrue(receiveResponse(clientContext, listener).endsWith("secured"));
                assertEquals(i, readCount.get());
            }
            // A caller that doesn't use TLS is disconnected by the failed handshake, long before the header timeout.
            try (RawClient plain = RawClient.connect(listener.address())) {
                plain.send("GET / HTTP/1.1\r\n\r\n").readToEnd();
            }
            // A caller that doesn't complete the handshake is disconnected by the header timeout and blocks no thread.
            settings.set(SHORT_HEADER_TIMEOUT);
            try (RawClient withoutHandshake = RawClient.connect(listener.address())) {
                assertEquals("", withoutHandshake.readToEnd());
            }
            settings.set(SETTINGS);
            assertTrue(receiveResponse(clientContext, listener).endsWith("secured"));
        } finally {
            scheduler.shutdownNow();
        }
    }

    private static String receiveResponse(SSLContext clientContext, HttpListener listener) throws Exception {
        InetSocketAddress address = listener.address();
        try (SSLSocket socket =
                (SSLSocket) clientContext.getSocketFactory().createSocket(address.getAddress(), address.getPort())) {
            socket.getOutputStream()
                    .write(("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 7\r\n\r\nsecured")
                            .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
