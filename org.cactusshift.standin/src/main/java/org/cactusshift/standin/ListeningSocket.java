package org.cactusshift.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import javax.net.ServerSocketFactory;

/**
 * A listening socket that refuses connections as soon as {@link #close()} has returned. With a plain
 * {@link ServerSocket} the operating system accepts connections until the accepting thread has left {@link #accept()}.
 */
final class ListeningSocket extends ServerSocket {
    private static final int DEFAULT_BACKLOG = 0;

    /** Held while a thread accepts a connection. */
    private final Lock acceptLock = new ReentrantLock();

    private ListeningSocket() throws IOException {}

    /**
     * Returns a factory of such sockets.
     *
     * @return the factory
     */
    static ServerSocketFactory factory() {
        return new Factory();
    }

    @Override
    public Socket accept() throws IOException {
        acceptLock.lock();
        try {
            return super.accept();
        } finally {
            acceptLock.unlock();
        }
    }

    @Override
    public void close() throws IOException {
        super.close();
        acceptLock.lock();
        acceptLock.unlock();
    }

    private static final class Factory extends ServerSocketFactory {
        @Override
        public ServerSocket createServerSocket(int port) throws IOException {
            return createServerSocket(port, DEFAULT_BACKLOG);
        }

        @Override
        public ServerSocket createServerSocket(int port, int backlog) throws IOException {
            return createServerSocket(port, backlog, null);
        }

        @Override
        public ServerSocket createServerSocket(int port, int backlog, InetAddress address) throws IOException {
            ListeningSocket socket = new ListeningSocket();
            try {
                socket.bind(new InetSocketAddress(address, port), backlog);
            } catch (IOException e) {
                socket.close();
                throw e;
            }
            return socket;
        }
    }
}
