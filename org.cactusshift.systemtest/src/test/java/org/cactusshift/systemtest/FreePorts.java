package org.cactusshift.systemtest;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds addresses that a process started later can listen on.
 *
 * <p>The ports lie below those that systems give to outgoing connections, so that none of the test's own connections
 * takes one before the process listens on it. No port is handed out twice in a row of tests.
 */
final class FreePorts {
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 18_000;

    private static int nextOffset = (int) (ProcessHandle.current().pid() * 977 % PORT_COUNT);

    private FreePorts() {}

    /**
     * Returns loopback addresses that were free a moment ago, all different.
     *
     * @param count how many
     * @return the addresses as {@code ADDRESS:PORT}
     * @throws IOException if none can be had
     */
    static synchronized List<String> addresses(int count) throws IOException {
        List<String> addresses = new ArrayList<>();
        for (int tried = 0; addresses.size() < count; tried++) {
            if (tried == PORT_COUNT) {
                throw new IOException("no free ports between " + FIRST_PORT + " and " + (FIRST_PORT + PORT_COUNT));
            }
            int port = FIRST_PORT + nextOffset;
            nextOffset = (nextOffset + 1) % PORT_COUNT;
            if (isFree(port)) {
                addresses.add(InetAddress.getLoopbackAddress().getHostAddress() + ":" + port);
            }
        }
        return addresses;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
