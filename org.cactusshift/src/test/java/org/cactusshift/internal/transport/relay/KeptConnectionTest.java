package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.lang.ref.WeakReference;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what a node keeps of the requests on a kept connection. */
class KeptConnectionTest {
    private static final int REQUEST_MEMORY_BYTES = 200_000;

    private WeakReference<ByteBuf> lastBody;
    private final EmbeddedCallers callers =
            new EmbeddedCallers(REQUEST_MEMORY_BYTES, exchange -> lastBody = new WeakReference<>(exchange.body()));

    @AfterEach
    void close() {
        callers.close();
    }

    private static List<String> send(EmbeddedChannel channel, String path, int bodyBytes) {
        String head = "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
        EmbeddedCallers.write(channel, head + "x".repeat(bodyBytes), Integer.MAX_VALUE / 2);
        return EmbeddedCallers.responseStatuses(channel);
    }

    private long heldBytes() {
        return callers.memory.requests().bytes();
    }

    /** Guards against idle connections that fill the heap with the bodies of requests that are over. */
    @Test
    void idleConnectionKeepsNoBody() throws InterruptedException {
        EmbeddedChannel channel = callers.connect();
        send(channel, "/x", 50_000);
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (lastBody.get() != null && System.nanoTime() < endNanos) {
            System.gc();
            Thread.sleep(10);
        }
        assertNull(lastBody.get());
        assertTrue(channel.isOpen());
        assertEquals(0, heldBytes());
    }

    /** Guards against requests in progress that fill the heap; one that doesn't fit is refused without being run. */
    @Test
    void requestThatDoesNotFitIsRefused() {
        for (int i = 0; i < 2; i++) {
            assertEquals(List.of(), send(callers.connect(), "/slow", 40_000));
        }
        EmbeddedChannel third = callers.connect();
        assertEquals(List.of("503"), send(third, "/x", 40_000));
        assertNull(lastBody);
        assertEquals(List.of("200"), send(third, "/x", 1_000));
        callers.respondToSlow();
        assertEquals(List.of("200"), send(third, "/x", 40_000));
    }

    /** Guards against memory that is counted for a request that is over, or for a caller that is gone. */
    @Test
    void memoryIsReleasedAtTheEndOfARequest() {
        EmbeddedChannel left = callers.connect();
        send(callers.connect(), "/slow", 30_000);
        send(left, "/slow", 30_000);
        send(left, "/x", 20_000);
        assertEquals(80_000, heldBytes());
        callers.respondToSlow();
        assertEquals(50_000, heldBytes());
        left.close();
        assertEquals(0, heldBytes());
    }

    /** Guards against memory that is counted for a request that was rejected behind others. */
    @Test
    void rejectedRequestHoldsNoMemory() {
        EmbeddedChannel channel = callers.connect();
        for (int i = 0; i < 12; i++) {
            send(channel, "/slow", 1_000);
        }
        // One is served and eight wait.
        assertEquals(9_000, heldBytes());
        while (callers.respondToSlow()) {
            // The next request becomes the oldest.
        }
        assertEquals(0, heldBytes());
        assertFalse(channel.isOpen());
    }
}
