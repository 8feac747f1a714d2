package org.cactusshift.systemtest;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free loopback addresses for processes that are started later.
 *
 * <p>The ports lie below the ephemeral range of the operating system, so that no outgoing connection of the test itself
 * uses one before the process listens on it. The ports are handed out in turn, so that a port is not reused by the
 * tests that follow.
 */
final class FreePorts {
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 18_000;

    // Test processes with consecutive ids start probing 977 ports apart.
    private static int nextOffset = (int) (ProcessHandle.current().pid() * 977 % PORT_COUNT);

    private FreePorts() {}

    /**
     * Returns distinct loopback addresses that were free when they were probed.
     *
     * @param count the number of addresses
     * @return the addresses as {@code ADDRESS:PORT}
     * @throws IOException if all ports of the range were probed without finding enough free ones
     */
    static synchronized List<String> addresses(int count) throws IOException {
        List<String> addresses = new ArrayList<>();
        for (int tried = 0; addresses.size() < count; tried++) {
            if (tried == PORT_COUNT) {
                throw new IOException(
                        "too few free ports between " + FIRST_PORT + " and " + (FIRST_PORT + PORT_COUNT - 1));
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
