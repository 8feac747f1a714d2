package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cactusshift.standin.link.Direction;
import org.cactusshift.standin.link.TcpRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class TcpRelayTest {
    private static final int NO_DATA_MILLIS = 200;

    private static final int TIMEOUT_MILLIS = 20_000;

    private final ExecutorService executor = Executors.newCachedThreadPool();

    private final AtomicInteger receivedByteCount = new AtomicInteger();

    private final AtomicInteger endedConnectionCount = new AtomicInteger();

    private ServerSocket target;

    private TcpRelay relay;

    @BeforeEach
    void start() throws IOException {
        target = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        executor.execute(this::acceptAll);
        relay = TcpRelay.start(target.getInetAddress().getHostAddress() + ":" + target.getLocalPort());
    }

    @AfterEach
    void stop() throws IOException {
        relay.close();
        target.close();
        executor.shutdownNow();
    }

    @Test
    void forwardsBothDirectionsAndEndOfStream() throws IOException {
        try (Socket socket = connect()) {
            assertEquals(7, exchange(socket, 7));
            socket.shutdownOutput();
            assertEquals(-1, socket.getInputStream().read());
        }
        awaitCount(endedConnectionCount, 1);
        awaitNoConnection();
    }

    @Test
    void cutBreaksConnectionsAndRefusesNewOnesUntilRestored() throws IOException {
        try (Socket socket = connect()) {
            exchange(socket, 1);
            relay.cut();
            assertThrows(IOException.class, () -> exchange(socket, 2));
        }
        assertThrows(ConnectException.class, this::connect);
        relay.restore();
        try (Socket socket = connect()) {
            assertEquals(3, exchange(socket, 3));
        }
    }

    @ParameterizedTest
    @EnumSource(Direction.class)
    void heldBytesArriveOnlyAfterRestore(Direction direction) throws IOException {
        try (Socket socket = connect()) {
            exchange(socket, 1);
            relay.hold(direction);
            socket.getOutputStream().write(2);
            if (direction == Direction.FROM_TARGET) {
                awaitCount(receivedByteCount, 2);
            }
            socket.setSoTimeout(NO_DATA_MILLIS);
            assertThrows(
                    SocketTimeoutException.class, () -> socket.getInputStream().read());
            assertEquals(direction == Direction.FROM_TARGET ? 2 : 1, receivedByteCount.get());
            relay.restore();
            socket.setSoTimeout(TIMEOUT_MILLIS);
            assertEquals(2, socket.getInputStream().read());
        }
    }

    @Test
    void stalledConnectionDeliversNothingWhileNewOnesWork() throws IOException {
        try (Socket stalled = connect()) {
            exchange(stalled, 1);
            relay.stallOpenConnections();
            stalled.getOutputStream().write(2);
            stalled.setSoTimeout(NO_DATA_MILLIS);
            assertThrows(
                    SocketTimeoutException.class, () -> stalled.getInputStream().read());
            relay.restore();
            try (Socket fresh = connect()) {
                assertEquals(3, exchange(fresh, 3));
            }
            assertThrows(
                    SocketTimeoutException.class, () -> stalled.getInputStream().read());
        }
        awaitCount(endedConnectionCount, 1);
        Await.until(() -> relay.openConnections() == 1);
    }

    @Test
    void delayedBytesArriveLaterInOrder() throws IOException {
        relay.setDelayMillis(NO_DATA_MILLIS);
        try (Socket socket = connect()) {
            long startNanos = System.nanoTime();
            for (int i = 1; i <= 5; i++) {
                socket.getOutputStream().write(i);
            }
            for (int i = 1; i <= 5; i++) {
                assertEquals(i, socket.getInputStream().read());
            }
            assertTrue(System.nanoTime() - startNanos >= TimeUnit.MILLISECONDS.toNanos(2 * NO_DATA_MILLIS));
        }
    }

    private Socket connect() throws IOException {
        int colon = relay.address().lastIndexOf(':');
        Socket socket = new Socket(
                InetAddress.getLoopbackAddress(),
                Integer.parseInt(relay.address().substring(colon + 1)));
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static int exchange(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
        int echo = socket.getInputStream().read();
        if (echo < 0) {
            throw new IOException("the connection ended before the echo");
        }
        return echo;
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = target.accept();
                executor.execute(() -> echo(socket));
            }
        } catch (IOException e) {
            // The listening socket was closed at the end of the test.
        }
    }

    private void echo(Socket socket) {
        try (socket) {
            int value = socket.getInputStream().read();
            while (value >= 0) {
                receivedByteCount.incrementAndGet();
                socket.getOutputStream().write(value);
                value = socket.getInputStream().read();
            }
        } catch (IOException e) {
            // The connection was reset by a cut of the relay.
        }
        endedConnectionCount.incrementAndGet();
    }

    private static void awaitCount(AtomicInteger counter, int count) {
        Await.until(() -> counter.get() == count);
    }

    private void awaitNoConnection() {
        Await.until(() -> relay.openConnections() == 0);
    }
}
