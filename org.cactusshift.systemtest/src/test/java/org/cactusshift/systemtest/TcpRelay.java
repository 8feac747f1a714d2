package org.cactusshift.systemtest;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Forwards loopback TCP connections to a target, with switches for the faults of a network.
 *
 * <p>The switches:
 *
 * <ul>
 *   <li>{@link #cut()}: breaks all connections and refuses new ones;
 *   <li>{@link #hold}: bytes of one direction wait until {@link #restore()}, as in a network partition;
 *   <li>{@link #silenceOpenConnections()}: the connections open now never bring anything again, not even their end,
 *       while new ones work;
 *   <li>{@link #setDelayMillis}: every byte arrives later.
 * </ul>
 */
final class TcpRelay implements AutoCloseable {
    private static final int BACKLOG = 256;

    private static final int CONNECT_TIMEOUT_MILLIS = 2000;

    private final String target;

    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "tcp-relay");
        thread.setDaemon(true);
        return thread;
    });

    /** Guards the switches and the links; notified at each change. */
    private final Object lock = new Object();

    private final Set<RelayLink> links = new HashSet<>();

    private final Set<Direction> heldDirections = EnumSet.noneOf(Direction.class);

    private final int port;

    private ServerSocket listener;

    private Future<?> acceptor;

    private long delayMillis;

    private TcpRelay(String target, ServerSocket listener) {
        this.target = target;
        this.listener = listener;
        this.port = listener.getLocalPort();
    }

    /**
     * Starts a relay.
     *
     * @param target where the connections go, as {@code ADDRESS:PORT}
     * @return the relay, which forwards everything
     * @throws IOException if no port can be opened
     */
    static TcpRelay start(String target) throws IOException {
        TcpRelay relay = new TcpRelay(target, listen(0));
        relay.acceptor = relay.startAccepting(relay.listener);
        return relay;
    }

    /**
     * Returns where the relay listens.
     *
     * @return the address as {@code ADDRESS:PORT}
     */
    String address() {
        return InetAddress.getLoopbackAddress().getHostAddress() + ":" + port;
    }

    /**
     * Returns how many connections are open.
     *
     * @return the number
     */
    int openConnections() {
        synchronized (lock) {
            return links.size();
        }
    }

    /**
     * Breaks all connections and refuses new ones.
     *
     * @throws IOException if the listening socket can't be closed
     */
    void cut() throws IOException {
        List<RelayLink> broken;
        Future<?> ending;
        synchronized (lock) {
            listener.close();
            ending = acceptor;
            broken = List.copyOf(links);
            lock.notifyAll();
        }
        broken.forEach(RelayLink::reset);
        awaitAcceptorEnd(ending);
    }

    /**
     * Holds the bytes of one direction back on all connections, open and new.
     *
     * @param direction the direction
     */
    void hold(Direction direction) {
        synchronized (lock) {
            heldDirections.add(direction);
        }
    }

    /** Holds the bytes of both directions back. */
    void holdBoth() {
        hold(Direction.TO_TARGET);
        hold(Direction.FROM_TARGET);
    }

    /** Makes the connections open now silent for good; new ones work. */
    void silenceOpenConnections() {
        synchronized (lock) {
            links.forEach(RelayLink::silence);
            lock.notifyAll();
        }
    }

    /**
     * Delays every byte that arrives from now on.
     *
     * @param delayMillis the delay of each direction, in milliseconds
     */
    void setDelayMillis(long delayMillis) {
        synchronized (lock) {
            this.delayMillis = delayMillis;
        }
    }

    /**
     * Ends a cut and all holds; held bytes go on. Silent connections stay silent.
     *
     * @throws IOException if the port can't be opened again
     */
    void restore() throws IOException {
        synchronized (lock) {
            heldDirections.clear();
            if (listener.isClosed()) {
                listener = listen(port);
                acceptor = startAccepting(listener);
            }
            lock.notifyAll();
        }
    }

    @Override
    public void close() throws IOException {
        cut();
        executor.shutdownNow();
    }

    long delayMillis() {
        synchronized (lock) {
            return delayMillis;
        }
    }

    /** Waits until bytes of a link may pass; returns false when the link is silent or closed. */
    boolean awaitMayForward(RelayLink link, Direction direction) throws InterruptedException {
        synchronized (lock) {
            while (heldDirections.contains(direction) && !link.isSilent() && links.contains(link)) {
                lock.wait();
            }
            return !link.isSilent() && links.contains(link);
        }
    }

    void removeLink(RelayLink link) {
        synchronized (lock) {
            links.remove(link);
            lock.notifyAll();
        }
    }

    /** Waits until the accepting thread has left the socket, which takes connections until then. */
    private static void awaitAcceptorEnd(Future<?> acceptor) throws IOException {
        try {
            acceptor.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        } catch (ExecutionException e) {
            throw new IOException("the accepting thread failed", e);
        }
    }

    private Future<?> startAccepting(ServerSocket from) {
        return executor.submit(() -> {
            try {
                while (true) {
                    Socket caller = from.accept();
                    executor.execute(() -> connect(caller));
                }
            } catch (IOException e) {
                // The socket was closed by a cut or at the end.
            }
        });
    }

    private void connect(Socket caller) {
        Socket upstream = new Socket();
        try {
            int colon = target.lastIndexOf(':');
            upstream.connect(
                    new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1))),
                    CONNECT_TIMEOUT_MILLIS);
            RelayLink link = new RelayLink(this, caller, upstream);
            if (addLink(link)) {
                executor.execute(() -> link.read(Direction.TO_TARGET));
                executor.execute(() -> link.write(Direction.TO_TARGET));
                executor.execute(() -> link.read(Direction.FROM_TARGET));
                executor.execute(() -> link.write(Direction.FROM_TARGET));
            }
        } catch (IOException e) {
            RelayLink.reset(caller);
            RelayLink.reset(upstream);
        }
    }

    /** Adds a link, unless a cut came in between. */
    private boolean addLink(RelayLink link) throws SocketException {
        synchronized (lock) {
            if (listener.isClosed()) {
                throw new SocketException("cut");
            }
            return links.add(link);
        }
    }

    private static ServerSocket listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        return socket;
    }
}
