package org.cactusshift.internal.transport.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.function.LongSupplier;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.apache.hc.core5.util.Timeout;
import org.cactusshift.internal.transport.http.UpstreamException.Loss;

/** One connection to an upstream: notes whether bytes may have left, and bounds each silence. */
final class UpstreamConnection extends DefaultBHttpClientConnection
        implements DeadlineSweeper.MonitoredConnection, WriteObservedOutputStream.WriteObserver {
    private static final int MAXIMUM_LINE_BYTES = 64 * 1024;
    private static final int MAXIMUM_HEADER_COUNT = 200;
    private static final int PROBE_MILLIS = 1;

    private final Socket socket;
    private final String address;
    private final LongSupplier clockMillis;
    private final InputStream rawInput;
    private volatile long writeDeadlineMillis = DeadlineSweeper.NO_DEADLINE_MILLIS;
    private volatile boolean mayHaveSent;
    private volatile boolean closed;
    private boolean probing;
    private long progressTimeoutMillis;
    private CancellationCheck observer = CancellationCheck.NEVER_CANCEL;
    private long idleSinceMillis;
    private long lastAskedMillis;

    private UpstreamConnection(Socket socket, String address, LongSupplier clockMillis) throws IOException {
        super(Http1Config.custom()
                .setMaxLineLength(MAXIMUM_LINE_BYTES)
                .setMaxHeaderCount(MAXIMUM_HEADER_COUNT)
                .build());
        this.socket = socket;
        this.address = address;
        this.clockMillis = clockMillis;
        this.rawInput = socket.getInputStream();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(CancellationCheck.CHECK_INTERVAL_MILLIS);
        bind(new SocketHolder(socket) {
            @Override
            protected InputStream getInputStream(Socket bound) {
                return new ProgressInputStream(rawInput);
            }

            @Override
            protected OutputStream getOutputStream(Socket bound) throws IOException {
                return new WriteObservedOutputStream(bound.getOutputStream(), UpstreamConnection.this);
            }
        });
    }

    static UpstreamConnection create(Socket socket, String address, LongSupplier clockMillis) throws IOException {
        return new UpstreamConnection(socket, address, clockMillis);
    }

    String address() {
        return address;
    }

    /** Starts an exchange; until the first write nothing of it may have been sent. */
    void beginExchange(long timeoutMillis, CancellationCheck waitObserver) {
        progressTimeoutMillis = timeoutMillis;
        observer = waitObserver;
        mayHaveSent = false;
        lastAskedMillis = clockMillis.getAsLong();
    }

    boolean mayHaveSent() {
        return mayHaveSent;
    }

    void markIdle(long nowMillis) {
        observer = CancellationCheck.NEVER_CANCEL;
        idleSinceMillis = nowMillis;
    }

    long idleSinceMillis() {
        return idleSinceMillis;
    }

    /**
     * Tells whether an unused connection can take a request. Any byte that arrived without a request belongs to nobody,
     * so it makes the connection unusable.
     */
    boolean isUsable() {
        if (closed || !isOpen()) {
            return false;
        }
        try {
            if (hasBufferedInput()) {
                return false;
            }
            socket.setSoTimeout(PROBE_MILLIS);
            rawInput.read();
            return false;
        } catch (SocketTimeoutException e) {
            return restoreTimeout();
        } catch (IOException e) {
            return false;
        }
    }

    /** Tells whether bytes after the last answer were read along with it. */
    private boolean hasBufferedInput() throws IOException {
        probing = true;
        try {
            return isDataAvailable(Timeout.ofMilliseconds(PROBE_MILLIS));
        } finally {
            probing = false;
        }
    }

    private boolean restoreTimeout() {
        try {
            socket.setSoTimeout(CancellationCheck.CHECK_INTERVAL_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Closes the connection at once; it is never used again. May be called by any thread. */
    void abort() {
        closed = true;
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is abandoned in any case.
        }
    }

    boolean isAborted() {
        return closed;
    }

    @Override
    public long deadlineMillis() {
        return writeDeadlineMillis;
    }

    @Override
    public void closeImmediately() {
        abort();
    }

    @Override
    public void beginWrite() {
        mayHaveSent = true;
        writeDeadlineMillis = clockMillis.getAsLong() + progressTimeoutMillis;
    }

    @Override
    public void endWrite() {
        writeDeadlineMillis = DeadlineSweeper.NO_DEADLINE_MILLIS;
    }

    private final class ProgressInputStream extends FilterInputStream {
        ProgressInputStream(InputStream in) {
            super(in);
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xFF;
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            if (probing) {
                throw new SocketTimeoutException("only what is buffered counts");
            }
            long silentSinceMillis = clockMillis.getAsLong();
            if (silentSinceMillis - lastAskedMillis >= CancellationCheck.CHECK_INTERVAL_MILLIS) {
                // Also while bytes arrive: an upstream may send comments for as long as a request waits.
                checkPatience(silentSinceMillis);
            }
            while (true) {
                try {
                    return in.read(bytes, offset, length);
                } catch (SocketTimeoutException e) {
                    checkPatience(silentSinceMillis);
                }
            }
        }

        private void checkPatience(long silentSinceMillis) throws UpstreamException {
            if (!observer.isResponseNeeded()) {
                throw UpstreamException.of(
                        Loss.ABANDONED, "await answer", address, "the answer is not wanted any more");
            }
            lastAskedMillis = clockMillis.getAsLong();
            long silentMillis = lastAskedMillis - silentSinceMillis;
            if (silentMillis >= progressTimeoutMillis) {
                throw UpstreamException.of(
                        Loss.SILENT, "await answer", address, "no progress for " + silentMillis + " ms");
            }
        }
    }
}
