package org.cactusshift.systemtest;

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

    private static final int QUEUE_CHUNKS = 256;

    private static final byte[] END_OF_STREAM = new byte[0];

    private final TcpRelay relay;

    private final Socket caller;

    private final Socket upstream;

    private final Map<Direction, BlockingQueue<Chunk>> queues = new EnumMap<>(Direction.class);

    private volatile boolean silenced;

    RelayLink(TcpRelay relay, Socket caller, Socket upstream) throws IOException {
        this.relay = relay;
        this.caller = caller;
        this.upstream = upstream;
        caller.setTcpNoDelay(true);
        upstream.setTcpNoDelay(true);
        for (Direction direction : Direction.values()) {
            queues.put(direction, new LinkedBlockingQueue<>(QUEUE_CHUNKS));
        }
    }

    boolean isSilent() {
        return silenced;
    }

    void silence() {
        silenced = true;
    }

    /** Resets the connections of both sides. */
    void reset() {
        relay.removeLink(this);
        reset(caller);
        reset(upstream);
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
            resetUnlessSilent();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the queued bytes to the other side, each chunk after its delay and when its direction is not held. */
    void write(Direction direction) {
        try {
            OutputStream output = sinkOf(direction).getOutputStream();
            while (true) {
                Chunk chunk = queues.get(direction).take();
                TimeUnit.NANOSECONDS.sleep(chunk.dueNanos() - System.nanoTime());
                if (!relay.awaitMayForward(this, direction)) {
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
            resetUnlessSilent();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket is already closed.
        }
    }

    /** Discards what the source of a silenced link still sends, so that its writes do not block. */
    private void discard(Direction direction) throws InterruptedException {
        while (silenced && !sourceOf(direction).isClosed()) {
            queues.get(direction).take();
        }
    }

    private void forwardEndOfStream(Direction direction) throws IOException {
        sinkOf(direction).shutdownOutput();
        if (sinkOf(direction).isInputShutdown() || sourceOf(direction).isOutputShutdown()) {
            relay.removeLink(this);
            caller.close();
            upstream.close();
        }
    }

    private void resetUnlessSilent() {
        if (!silenced) {
            reset();
        }
    }

    private long dueNanos() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(relay.delayMillis());
    }

    private Socket sourceOf(Direction direction) {
        return direction == Direction.TO_TARGET ? caller : upstream;
    }

    private Socket sinkOf(Direction direction) {
        return direction == Direction.TO_TARGET ? upstream : caller;
    }

    private record Chunk(byte[] bytes, long dueNanos) {}
}
