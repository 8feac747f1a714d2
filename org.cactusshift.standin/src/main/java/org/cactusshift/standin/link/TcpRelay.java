package org.cactusshift.standin.link;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Forwards loopback TCP connections to a target and can inject network faults.
 *
 * <p>The faults:
 *
 * <ul>
 *   <li>{@link #cut()}: resets all connections and refuses new ones;
 *   <li>{@link #refuseNewConnections()}: refuses new connections, while those that are open now work;
 *   <li>{@link #hangNewConnections()}: new connections are not established, while those that are open now work;
 *   <li>{@link #resetOpenConnections()}: resets the connections that are open now, while new ones work;
 *   <li>{@link #hold}: bytes of one direction are held back until {@link #restore()}, as in a network partition;
 *   <li>{@link #stallOpenConnections()}: the connections that are open now deliver nothing any more, not even the end
 *       of the stream, while new ones work;
 *   <li>{@link #setDelayMillis}: every byte is delayed.
 * </ul>
 */
public final class TcpRelay implements AutoCloseable {
    private static final int BACKLOG = 256;

    private static final int SHORTEST_BACKLOG = 1;

    /** A connection that is not established within this time found the accept queue full. */
    private static final int QUEUE_FULL_MILLIS = 200;

    private static final int CONNECT_TIMEOUT_MILLIS = 2000;

    private final String target;

    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "tcp-relay");
        thread.setDaemon(true);
        return thread;
    });

    /** Guards all mutable fields; notified when a thread in {@link #awaitForwardingAllowed} may continue. */
    private final Object lock = new Object();

    private final Set<RelayLink> links = new HashSet<>();

    private final Set<Direction> heldDirections = EnumSet.noneOf(Direction.class);

    private final int port;

    private ServerSocket listener;

    private Future<?> acceptor;

    private long delayMillis;

    /** Connections that occupy the accept queue while new connections hang. */
    private final List<Socket> queueOccupants = new ArrayList<>();

    private TcpRelay(String target, ServerSocket listener) {
        this.target = target;
        this.listener = listener;
        this.port = listener.getLocalPort();
    }

    /**
     * Starts a relay.
     *
     * @param target the address to forward to, as {@code ADDRESS:PORT}
     * @return the relay, without any fault
     * @throws IOException if no port can be opened
     */
    public static TcpRelay start(String target) throws IOException {
        TcpRelay relay = new TcpRelay(target, listen(0, BACKLOG));
        relay.acceptor = relay.startAccepting(relay.listener);
        return relay;
    }

    /**
     * Returns the address at which the relay listens.
     *
     * @return the address as {@code ADDRESS:PORT}
     */
    public String address() {
        return InetAddress.getLoopbackAddress().getHostAddress() + ":" + port;
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number
     */
    public int openConnections() {
        synchronized (lock) {
            return links.size();
        }
    }

    /**
     * Resets all connections and refuses new ones until {@link #restore()}.
     *
     * @throws IOException if the listening socket can't be closed
     */
    public void cut() throws IOException {
        refuseNewConnections();
        resetOpenConnections();
    }

    /**
     * Refuses new connections until {@link #restore()}; those that are open now work.
     *
     * @throws IOException if the listening socket can't be closed
     */
    public void refuseNewConnections() throws IOException {
        Future<?> closedAcceptor;
        synchronized (lock) {
            listener.close();
            releaseQueue();
            closedAcceptor = acceptor;
            lock.notifyAll();
        }
        awaitAcceptorEnd(closedAcceptor);
    }

    /**
     * Lets new connections hang until {@link #restore()}, as behind a partition; those that are open now work.
     *
     * @throws IOException if the relay can't listen on its port again
     */
    public void hangNewConnections() throws IOException {
        refuseNewConnections();
        synchronized (lock) {
            listener = listen(port, SHORTEST_BACKLOG);
            acceptor = CompletableFuture.completedFuture(null);
            boolean isFull = false;
            while (!isFull) {
                Socket occupant = new Socket();
                queueOccupants.add(occupant);
                try {
                    occupant.connect(listener.getLocalSocketAddress(), QUEUE_FULL_MILLIS);
                } catch (SocketTimeoutException e) {
                    isFull = true;
                }
            }
        }
    }

    private void releaseQueue() throws IOException {
        for (Socket occupant : queueOccupants) {
            occupant.close();
        }
        queueOccupants.clear();
    }

    /** Resets the connections that are open now; new ones work. */
    public void resetOpenConnections() {
        List<RelayLink> openLinks;
        synchronized (lock) {
            openLinks = List.copyOf(links);
        }
        openLinks.forEach(RelayLink::reset);
    }

    /**
     * Holds back the bytes of one direction on all connections, open and new, until {@link #restore()}.
     *
     * @param direction the direction
     */
    public void hold(Direction direction) {
        synchronized (lock) {
            heldDirections.add(direction);
        }
    }

    /** Holds back the bytes of both directions until {@link #restore()}. */
    public void holdBoth() {
        hold(Direction.TO_TARGET);
        hold(Direction.FROM_TARGET);
    }

    /** Stalls the connections that are open now until they are closed; new connections work. */
    public void stallOpenConnections() {
        synchronized (lock) {
            links.forEach(RelayLink::stall);
            lock.notifyAll();
        }
    }

    /**
     * Sets the delay of every byte that the relay receives from now on.
     *
     * @param delayMillis the delay of each direction, in milliseconds
     */
    public void setDelayMillis(long delayMillis) {
        synchronized (lock) {
            this.delayMillis = delayMillis;
        }
    }

    /**
     * Ends a cut and all holds; held bytes are forwarded. Stalled connections stay stalled.
     *
     * @throws IOException if the relay can't listen on its port again
     */
    public void restore() throws IOException {
        synchronized (lock) {
            heldDirections.clear();
            if (!queueOccupants.isEmpty()) {
                listener.close();
                releaseQueue();
            }
            if (listener.isClosed()) {
                listener = listen(port, BACKLOG);
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

    /** Waits while the direction is held; returns false when the link is stalled or closed. */
    boolean awaitForwardingAllowed(RelayLink link, Direction direction) throws InterruptedException {
        synchronized (lock) {
            while (heldDirections.contains(direction) && !link.isStalled() && links.contains(link)) {
                lock.wait();
            }
            return !link.isStalled() && links.contains(link);
        }
    }

    void removeLink(RelayLink link) {
        synchronized (lock) {
            links.remove(link);
            lock.notifyAll();
        }
    }

    /** Waits until the accepting thread has ended; the listening socket may accept connections until then. */
    private static void awaitAcceptorEnd(Future<?> acceptor) throws IOException {
        try {
            acceptor.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while waiting for the accepting thread");
        } catch (ExecutionException e) {
            throw new IOException("accepting connections failed", e);
        }
    }

    private Future<?> startAccepting(ServerSocket listeningSocket) {
        return executor.submit(() -> {
            try {
                while (true) {
                    Socket client = listeningSocket.accept();
                    executor.execute(() -> connect(client));
                }
            } catch (IOException e) {
                // The listening socket was closed by cut() or close().
            }
        });
    }

    private void connect(Socket client) {
        Socket targetSocket = new Socket();
        try {
            int colon = target.lastIndexOf(':');
            targetSocket.connect(
                    new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1))),
                    CONNECT_TIMEOUT_MILLIS);
            RelayLink link = new RelayLink(this, client, targetSocket);
            if (addLink(link)) {
                executor.execute(() -> link.read(Direction.TO_TARGET));
                executor.execute(() -> link.write(Direction.TO_TARGET));
                executor.execute(() -> link.read(Direction.FROM_TARGET));
                executor.execute(() -> link.write(Direction.FROM_TARGET));
            }
        } catch (IOException e) {
            RelayLink.reset(client);
            RelayLink.reset(targetSocket);
        }
    }

    /** Adds a link; fails when the relay was cut while the link was being connected. */
    private boolean addLink(RelayLink link) throws SocketException {
        synchronized (lock) {
            if (listener.isClosed()) {
                throw new SocketException("the relay was cut while it connected to the target");
            }
            return links.add(link);
        }
    }

    private static ServerSocket listen(int port, int backlog) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), backlog);
        return socket;
    }
}
