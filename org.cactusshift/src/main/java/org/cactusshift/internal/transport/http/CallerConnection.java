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
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * A connection from a caller. It tracks the phase of the current request, the read and write deadlines and the limit on
 * header bytes.
 */
final class CallerConnection extends DefaultBHttpServerConnection
        implements DeadlineSweeper.MonitoredConnection, WriteObservedOutputStream.WriteObserver {
    /** Size of the read buffer. Up to this many bytes of the body may be read together with the headers. */
    private static final int BUFFER_BYTES = 8192;

    private static final int MAXIMUM_HEADER_COUNT = 100;

    private enum Phase {
        /** No byte of a request has been received since the last response. */
        IDLE,
        /** The headers or the body of a request are being received. */
        READING,
        /** The request is complete; its handler runs. */
        HANDLING,
        CLOSED
    }

    private final Socket rawSocket;
    private final ListenerSettings settings;
    private final LongSupplier monotonicMillis;
    private final BooleanSupplier stopping;
    private Phase phase = Phase.IDLE;
    private volatile long readDeadlineMillis;
    private volatile long writeDeadlineMillis = DeadlineSweeper.NO_DEADLINE_MILLIS;
    private long idleSinceMillis;
    private long remainingHeaderBytes;

    CallerConnection(
            Socket rawSocket, ListenerSettings settings, LongSupplier monotonicMillis, BooleanSupplier stopping) {
        super("http", http1Config(settings), null, null, null, null, MessageInput.requestParsers(), null);
        this.rawSocket = rawSocket;
        this.settings = settings;
        this.monotonicMillis = monotonicMillis;
        this.stopping = stopping;
        this.idleSinceMillis = monotonicMillis.getAsLong();
        this.readDeadlineMillis = idleSinceMillis + settings.headerTimeoutMillis();
        this.remainingHeaderBytes = headerReadLimitBytes();
    }

    private static Http1Config http1Config(ListenerSettings settings) {
        return Http1Config.custom()
                .setBufferSize(BUFFER_BYTES)
                .setMaxLineLength(settings.maximumHeaderBytes())
                .setMaxHeaderCount(MAXIMUM_HEADER_COUNT)
                .build();
    }

    /** Binds the connection to a socket; with TLS this is the TLS socket over the raw socket. */
    void bindTo(Socket socket) throws IOException {
        bind(new SocketHolder(socket) {
            @Override
            protected InputStream getInputStream(Socket bound) throws IOException {
                return new HeaderLimitInputStream(bound.getInputStream());
            }

            @Override
            protected OutputStream getOutputStream(Socket bound) throws IOException {
                return new WriteObservedOutputStream(bound.getOutputStream(), CallerConnection.this);
            }
        });
    }

    @Override
    protected InputStream createContentInputStream(long length, SessionInputBuffer buffer, InputStream stream) {
        return super.createContentInputStream(length, buffer, MessageInput.forBody(length, stream));
    }

    private long headerReadLimitBytes() {
        return (long) settings.maximumHeaderBytes() + BUFFER_BYTES;
    }

    /** Records that the connection is idle and sets the keep-alive deadline for the next request. */
    void markIdle() {
        synchronized (this) {
            if (phase != Phase.CLOSED) {
                phase = Phase.IDLE;
            }
            idleSinceMillis = monotonicMillis.getAsLong();
        }
        remainingHeaderBytes = headerReadLimitBytes();
        readDeadlineMillis = monotonicMillis.getAsLong() + settings.keepAliveMillis();
    }

    /**
     * Records that the headers are complete; the bytes that follow belong to the body and have a limit of their own.
     */
    void markHeadersComplete() {
        remainingHeaderBytes = Long.MAX_VALUE;
    }

    /** Records that the request is complete, and removes the read deadline. */
    synchronized void markRequestComplete() {
        if (phase != Phase.CLOSED) {
            phase = Phase.HANDLING;
        }
        readDeadlineMillis = DeadlineSweeper.NO_DEADLINE_MILLIS;
    }

    /** Closes the connection if it has been idle for the given time; until then a request may be in transit. */
    void closeIfIdleFor(long idleMillis) {
        synchronized (this) {
            if (phase != Phase.IDLE || monotonicMillis.getAsLong() - idleSinceMillis < idleMillis) {
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
            // Closes the raw socket, as closing a TLS socket would block until a stalled write ends.
            rawSocket.close();
        } catch (IOException e) {
            // The connection isn't used again, so a failed close needs no handling.
        }
    }

    @Override
    public void onWriteStart() {
        writeDeadlineMillis = monotonicMillis.getAsLong() + settings.writeTimeoutMillis();
    }

    @Override
    public void onWriteEnd() {
        writeDeadlineMillis = DeadlineSweeper.NO_DEADLINE_MILLIS;
    }

    private void recordRead(int count) throws IOException {
        synchronized (this) {
            if (phase == Phase.CLOSED) {
                throw new IOException("the connection was closed while a request was read");
            }
            if (phase == Phase.IDLE && count > 0) {
                phase = Phase.READING;
                readDeadlineMillis = monotonicMillis.getAsLong() + settings.headerTimeoutMillis();
            }
        }
        remainingHeaderBytes -= count;
        if (remainingHeaderBytes < 0) {
            throw new IOException("the header section is larger than the limit");
        }
    }

    /** Counts the bytes of the header section and starts the read deadline at the first byte of a request. */
    private final class HeaderLimitInputStream extends FilterInputStream {
        HeaderLimitInputStream(InputStream in) {
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
            recordRead(count);
            return count;
        }
    }
}
