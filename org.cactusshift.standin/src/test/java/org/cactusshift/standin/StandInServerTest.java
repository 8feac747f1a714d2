package org.cactusshift.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StandInServerTest {
    private static final String HOST = "127.0.0.1";
    private static final int CONNECT_TIMEOUT_MILLIS = 10_000;
    /** Several servers crash at the same time, so that some of their accepting threads are late to notice it. */
    private static final int THREADS = 32;

    private static final int SERVERS = 300;

    @Test
    void crashedServerAcceptsNoMoreConnections() throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(THREADS);
        List<StandInServer> servers = new ArrayList<>();
        try {
            // All are started before one crashes, as a server that starts later could get the port of a crashed one.
            for (int i = 0; i < SERVERS; i++) {
                StandInServer server = StandInServer.create(0, null);
                servers.add(server);
                server.start();
            }
            List<Future<Boolean>> results = new ArrayList<>();
            for (StandInServer server : servers) {
                results.add(executor.submit(() -> acceptsConnectionAfterCrash(server)));
            }
            int accepting = 0;
            for (Future<Boolean> result : results) {
                accepting += result.get(1, TimeUnit.MINUTES) ? 1 : 0;
            }

            assertEquals(0, accepting, "of " + SERVERS + " crashed servers, the number that accepted a connection");
        } finally {
            executor.shutdownNow();
            servers.forEach(StandInServer::close);
        }
    }

    private static boolean acceptsConnectionAfterCrash(StandInServer server) throws IOException {
        String address = server.address();
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        server.crash();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, port), CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (ConnectException e) {
            return false;
        }
    }
}
