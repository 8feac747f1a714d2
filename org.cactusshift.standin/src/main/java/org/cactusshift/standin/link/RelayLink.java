package org.cactusshift.standin.link;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** One connection through a {@link TcpRelay}. A reader and a writer thread serve each direction. */
final class RelayLink {
    private static final int BUFFER_BYTES = 16_384;

    /** Capacity of the queue of each direction, in chunks of up to {@link #BUFFER_BYTES}. */
    private static final int QUEUE_CAPACITY_CHUNKS = 256;

    private static final byte[] END_OF_STREAM = new byte[0];

    private final TcpRelay relay;

    private final Socket client;

    private final Socket target;

    private final Map<Direction, BlockingQueue<Chunk>> queues = new EnumMap<>(Direction.class);

    private volatile boolean stalled;

    RelayLink(TcpRelay relay, Socket client, Socket target) throws IOException {
        this.relay = relay;
        this.client = client;
        this.target = target;
        client.setTcpNoDelay(true);
        target.setTcpNoDelay(true);
        for (Direction direction : Direction.values()) {
            queues.put(direction, new LinkedBlockingQueue<>(QUEUE_CAPACITY_CHUNKS));
        }
    }

    boolean isStalled() {
        return stalled;
    }

    void stall() {
        stalled = true;
    }

    /** Resets the connections of both sides. */
    void reset() {
        relay.removeLink(this);
        reset(client);
        reset(target);
    }

    /** Reads from the source of a direction until the end of the stream and queues the bytes for the writer. */
    void read(Direction direction) {
        try {
            InputStream input = sourceOf(direction).getInputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            int count = input.read(buffer);
            while (count >= 0) {
                queues.get(direction).put(new Chunk(Arrays.copyOf(buffer, count), dueNanos()));
                count = input.read(buffer);
            }
            queues.get(direction).put(new Chunk(END_OF_STREAM, dueNanos()));
        } catch (IOException e) {
            resetUnlessStalled();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the queued bytes to the other side: each chunk after its delay, and not while its direction is held. */
    void write(Direction direction) {
        try {
            OutputStream output = sinkOf(direction).getOutputStream();
            while (true) {
                Chunk chunk = queues.get(direction).take();
                TimeUnit.NANOSECONDS.sleep(chunk.dueNanos() - System.nanoTime());
                if (!relay.awaitForwardingAllowed(this, direction)) {
                    discard(direction);
                    return;
                }
                if (chunk.bytes().length == 0) {
                    forwardEndOfStream(direction);
                    return;
                }
                output.write(chunk.bytes());
            }
        } catch (IOException e) {
            resetUnlessStalled();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes a socket with a TCP reset (SO_LINGER 0). */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket is already closed.
        }
    }

    /** Discards what the source of a stalled link still sends, so that its writes do not block. */
    private void discard(Direction direction) throws InterruptedException {
        while (stalled && !sourceOf(direction).isClosed()) {
            queues.get(direction).take();
        }
    }

    private void forwardEndOfStream(Direction direction) throws IOException {
        sinkOf(direction).shutdownOutput();
        if (sinkOf(direction).isInputShutdown() || sourceOf(direction).isOutputShutdown()) {
            relay.removeLink(this);
            client.close();
            target.close();
        }
    }

    private void resetUnlessStalled() {
        if (!stalled) {
            reset();
        }
    }

    private long dueNanos() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(relay.delayMillis());
    }

    private Socket sourceOf(Direction direction) {
        return direction == Direction.TO_TARGET ? client : target;
    }

    private Socket sinkOf(Direction direction) {
        return direction == Direction.TO_TARGET ? target : client;
    }

    private record Chunk(byte[] bytes, long dueNanos) {}
}
