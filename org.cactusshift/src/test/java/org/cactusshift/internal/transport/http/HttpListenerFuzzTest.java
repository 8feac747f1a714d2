package org.cactusshift.internal.transport.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.apache.hc.core5.http.ContentType;

class HttpListenerFuzzTest {
    private static final String VALID = "POST /x?y=1 HTTP/1.1\r\nHost: h\r\nA: b\r\nTransfer-Encoding: chunked\r\n"
            + "Connection: close\r\n\r\n3\r\nabc\r\n2;e=f\r\nde\r\n0\r\nT: u\r\n\r\n";

    private static HttpListener listener;

    @BeforeContainer
    static void open() throws IOException {
        // header bytes, body bytes, connections; header, write and keep-alive timeouts in ms
        ListenerSettings settings = new ListenerSettings(2048, 1000, 64, 5000, 500, 5000);
        listener = HttpListener.open(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                () -> settings,
                exchange -> exchange.submit(HttpResponses.of(200, ContentType.TEXT_PLAIN, exchange.body())));
    }

    @AfterContainer
    static void close() {
        listener.close();
    }

    /** Sends the bytes, shuts down the output and returns what is received until the listener closes the connection. */
    private static String responseTo(byte[] request) throws IOException {
        try (RawClient client = RawClient.connect(listener.address())) {
            try {
                client.send(request);
                client.socket().shutdownOutput();
                return client.readToEnd();
            } catch (IOException e) {
                return "";
            }
        }
    }

    private static void assertServes() throws IOException {
        String response = responseTo(VALID.getBytes(StandardCharsets.US_ASCII));
        assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("abcde"), response);
    }

    private static void assertNoServerError(String response) {
        assertFalse(response.startsWith("HTTP/1.1 500"), response);
        assertTrue(response.isEmpty() || response.startsWith("HTTP/1."), response);
    }

    @Property(tries = 200, seed = "20261203")
    void listenerRespondsToOrClosesAConnectionWithRandomBytes(@ForAll @Size(max = 3000) byte[] bytes)
            throws IOException {
        assertNoServerError(responseTo(bytes));
        assertServes();
    }

    @Property(tries = 300, seed = "20261203")
    void listenerRespondsToOrClosesAConnectionWithACorruptedRequest(
            @ForAll @IntRange(max = 150) int position, @ForAll byte replacement, @ForAll @IntRange(max = 4) int removed)
            throws IOException {
        byte[] valid = VALID.getBytes(StandardCharsets.US_ASCII);
        int start = Math.min(position, valid.length);
        int end = Math.min(start + removed, valid.length);
        byte[] corrupted = new byte[start + 1 + valid.length - end];
        System.arraycopy(valid, 0, corrupted, 0, start);
        corrupted[start] = replacement;
        System.arraycopy(valid, end, corrupted, start + 1, valid.length - end);
        assertNoServerError(responseTo(corrupted));
        assertServes();
    }
}
