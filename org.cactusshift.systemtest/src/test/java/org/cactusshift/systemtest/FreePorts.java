package org.cactusshift.systemtest;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds addresses that a process started later can listen on. */
final class FreePorts {
    private FreePorts() {}

    /**
     * Returns loopback addresses that were free a moment ago, all different.
     *
     * @param count how many
     * @return the addresses as {@code ADDRESS:PORT}
     * @throws IOException if none can be had
     */
    static List<String> addresses(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            List<String> addresses = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                sockets.add(socket);
                addresses.add(socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort());
            }
            return addresses;
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }
}
