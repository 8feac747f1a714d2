package org.cactusshift.internal.transport.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.SocketHolder;

/** One connection of a caller: its phase, its deadlines and the bound on its header bytes. */
final class CallerConnection extends DefaultBHttpServerConnection
        implements DeadlineSweeper.MonitoredConnection, WriteObservedOutputStream.WriteObserver {
    /** Bytes of a body that may be read together with the headers. */
    private static final int BUFFER_BYTES = 8192;

    private static final int MAXIMUM_HEADER_COUNT = 100;

    private enum Phase {
        IDLE,
        READING,
        HANDLING,
        CLOSED
    }

    private final Socket rawSocket;
    private final ListenerSettings settings;
    private final LongSupplier clockMillis;
    private final BooleanSupplier stopping;
    private Phase phase = Phase.IDLE;
    private volatile long readDeadlineMillis;
    private volatile long writeDeadlineMillis = DeadlineSweeper.NO_DEADLINE_MILLIS;
    private long idleSinceMillis;
    private long headerBytesLeft;

    CallerConnection(Socket rawSocket, ListenerSettings settings, LongSupplier clockMillis, BooleanSupplier stopping) {
        super("http", http1Config(settings));
        this.rawSocket = rawSocket;
        this.settings = settings;
        this.clockMillis = clockMillis;
        this.stopping = stopping;
        this.idleSinceMillis = clockMillis.getAsLong();
        this.readDeadlineMillis = idleSinceMillis + settings.headerTimeoutMillis();
        this.headerBytesLeft = headerBudgetBytes();
    }

    private static Http1Config http1Config(ListenerSettings settings) {
        return Http1Config.custom()
                .setBufferSize(BUFFER_BYTES)
                .setMaxLineLength(settings.maximumHeaderBytes())
                .setMaxHeaderCount(MAXIMUM_HEADER_COUNT)
                .build();
    }

    /** Binds to the socket that carries the bytes, which for TLS is layered over the raw one. */
    void bindTo(Socket socket) throws IOException {
        bind(new SocketHolder(socket) {
            @Override
            protected InputStream getInputStream(Socket bound) throws IOException {
                return new GuardedInputStream(bound.getInputStream());
            }

            @Override
            protected OutputStream getOutputStream(Socket bound) throws IOException {
                return new WriteObservedOutputStream(bound.getOutputStream(), CallerConnection.this);
            }
        });
    }

    private long headerBudgetBytes() {
        return (long) settings.maximumHeaderBytes() + BUFFER_BYTES;
    }

    /** Starts the wait for another request on the connection. */
    void markIdle() {
        synchronized (this) {
            if (phase != Phase.CLOSED) {
                phase = Phase.IDLE;
            }
            idleSinceMillis = clockMillis.getAsLong();
        }
        headerBytesLeft = headerBudgetBytes();
        readDeadlineMillis = clockMillis.getAsLong() + settings.keepAliveMillis();
    }

    /** Notes that the headers are complete: what follows is body. */
    void markHeadersComplete() {
        headerBytesLeft = Long.MAX_VALUE;
    }

    /** Notes that the request is complete, so that the caller owes nothing. */
    synchronized void markRequestComplete() {
        if (phase != Phase.CLOSED) {
            phase = Phase.HANDLING;
        }
        readDeadlineMillis = DeadlineSweeper.NO_DEADLINE_MILLIS;
    }

    /** Closes the connection if no byte of a request has come for a while; one may be on its way. */
    void closeIfIdleFor(long idleMillis) {
        synchronized (this) {
            if (phase != Phase.IDLE || clockMillis.getAsLong() - idleSinceMillis < idleMillis) {
                return;
            }
            phase = Phase.CLOSED;
        }
        closeImmediately();
    }

    boolean isCallerDisconnected() {
        try {
            return isStale();
        } catch (IOException e) {
            return true;
        }
    }

    boolean isStopping() {
        return stopping.getAsBoolean();
    }

    @Override
    public long deadlineMillis() {
        return Math.min(readDeadlineMillis, writeDeadlineMillis);
    }

    @Override
    public void closeImmediately() {
        synchronized (this) {
            phase = Phase.CLOSED;
        }
        try {
            // The raw socket, since closing a TLS socket would wait for the writer that is stuck.
            rawSocket.close();
        } catch (IOException e) {
            // The connection is abandoned in any case.
        }
    }

    @Override
    public void beginWrite() {
        writeDeadlineMillis = clockMillis.getAsLong() + settings.writeTimeoutMillis();
    }

    @Override
    public void endWrite() {
        writeDeadlineMillis = DeadlineSweeper.NO_DEADLINE_MILLIS;
    }

    private void noteRead(int count) throws IOException {
        synchronized (this) {
            if (phase == Phase.CLOSED) {
                throw new IOException("the connection was closed at its deadline");
            }
            if (phase == Phase.IDLE && count > 0) {
                phase = Phase.READING;
                readDeadlineMillis = clockMillis.getAsLong() + settings.headerTimeoutMillis();
            }
        }
        headerBytesLeft -= count;
        if (headerBytesLeft < 0) {
            throw new IOException("the header section is over the limit");
        }
    }

    private final class GuardedInputStream extends FilterInputStream {
        GuardedInputStream(InputStream in) {
            super(in);
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xFF;
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            int count = in.read(bytes, offset, length);
            noteRead(count);
            return count;
        }
    }
}
