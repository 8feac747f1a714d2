package org.cactusshift.internal.transport.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.function.LongSupplier;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.apache.hc.core5.util.Timeout;
import org.cactusshift.internal.transport.http.HttpExchangeException.Reason;

/**
 * A connection to an upstream. It records whether bytes of a request may have been sent, and limits the time without
 * progress unless the {@link ResponseNeededCheck} lets a silent exchange go on.
 */
final class UpstreamConnection extends ClientConnection
        implements DeadlineSweeper.MonitoredConnection, WriteObservedOutputStream.WriteObserver {
    private static final int MAXIMUM_LINE_BYTES = 64 * 1024;
    private static final int MAXIMUM_HEADER_COUNT = 200;
    private static final int PROBE_TIMEOUT_MILLIS = 1;

    private final Socket socket;
    private final String address;
    private final LongSupplier monotonicMillis;
    private final InputStream rawInput;
    private volatile long writeDeadlineMillis = DeadlineSweeper.NO_DEADLINE_MILLIS;
    private volatile boolean mayHaveSent;
    private volatile boolean aborted;
    private boolean checkingBuffer;
    private int exchanges;
    private boolean reusable = true;
    private long progressTimeoutMillis;
    private ResponseNeededCheck responseNeededCheck = ResponseNeededCheck.ALWAYS_NEEDED;
    private long idleSinceMillis;
    private long lastCheckMillis;

    private UpstreamConnection(Socket socket, String address, LongSupplier monotonicMillis) throws IOException {
        super(Http1Config.custom()
                .setMaxLineLength(MAXIMUM_LINE_BYTES)
                .setMaxHeaderCount(MAXIMUM_HEADER_COUNT)
                .build());
        this.socket = socket;
        this.address = address;
        this.monotonicMillis = monotonicMillis;
        this.rawInput = socket.getInputStream();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(ResponseNeededCheck.CHECK_INTERVAL_MILLIS);
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

    static UpstreamConnection create(Socket socket, String address, LongSupplier monotonicMillis) throws IOException {
        return new UpstreamConnection(socket, address, monotonicMillis);
    }

    String address() {
        return address;
    }

    /** Starts an exchange: sets its progress timeout and cancellation check, and records that nothing has been sent. */
    void beginExchange(long newProgressTimeoutMillis, ResponseNeededCheck check) {
        progressTimeoutMillis = newProgressTimeoutMillis;
        responseNeededCheck = check;
        mayHaveSent = false;
        exchanges++;
        lastCheckMillis = monotonicMillis.getAsLong();
    }

    /** Returns whether no other request has been sent on the connection. */
    boolean isFirstExchange() {
        return exchanges == 1;
    }

    /** Records that nothing shows which request a further response on the connection would answer. */
    void markNotReusable() {
        reusable = false;
    }

    boolean isReusable() {
        return reusable;
    }

    boolean mayHaveSent() {
        return mayHaveSent;
    }

    void markIdle(long nowMillis) {
        responseNeededCheck = ResponseNeededCheck.ALWAYS_NEEDED;
        idleSinceMillis = nowMillis;
    }

    long idleSinceMillis() {
        return idleSinceMillis;
    }

    /**
     * Probes whether an idle connection can be used for a request; blocks for up to a millisecond. A byte received
     * without a pending request can't be attributed to any exchange, so it makes the connection unusable.
     */
    boolean isUsable() {
        if (aborted || !isOpen()) {
            return false;
        }
        try {
            if (hasBufferedInput()) {
                return false;
            }
            socket.setSoTimeout(PROBE_TIMEOUT_MILLIS);
            rawInput.read();
            return false;
        } catch (SocketTimeoutException e) {
            return restoreTimeout();
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns whether bytes beyond the end of the last response have already been read into the buffer. */
    private boolean hasBufferedInput() throws IOException {
        checkingBuffer = true;
        try {
            return isDataAvailable(Timeout.ofMilliseconds(PROBE_TIMEOUT_MILLIS));
        } finally {
            checkingBuffer = false;
        }
    }

    /** Sets the socket timeout again after a probe; returns whether the connection is still usable. */
    private boolean restoreTimeout() {
        try {
            socket.setSoTimeout(ResponseNeededCheck.CHECK_INTERVAL_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Closes the connection immediately; it is not reused. May be called by any thread. */
    void abort() {
        aborted = true;
        try {
            socket.close();
        } catch (IOException e) {
            // The connection isn't used again, so a failed close needs no handling.
        }
    }

    boolean isAborted() {
        return aborted;
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
    public void onWriteStart() {
        mayHaveSent = true;
        writeDeadlineMillis = monotonicMillis.getAsLong() + progressTimeoutMillis;
    }

    @Override
    public void onWriteEnd() {
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
            if (checkingBuffer) {
                throw new SocketTimeoutException("reading from the socket is disabled while the buffer is checked");
            }
            long readStartMillis = monotonicMillis.getAsLong();
            if (readStartMillis - lastCheckMillis >= ResponseNeededCheck.CHECK_INTERVAL_MILLIS) {
                // Also checks while bytes arrive: an engine may send SSE comments while it queues a request.
                checkCancellationAndTimeout(readStartMillis);
            }
            while (true) {
                try {
                    return in.read(bytes, offset, length);
                } catch (SocketTimeoutException e) {
                    checkCancellationAndTimeout(readStartMillis);
                }
            }
        }

        private void checkCancellationAndTimeout(long readStartMillis) throws HttpExchangeException {
            if (!responseNeededCheck.isResponseNeeded()) {
                throw HttpExchangeException.of(
                        Reason.ABANDONED, "await response", address, "the response is no longer needed");
            }
            lastCheckMillis = monotonicMillis.getAsLong();
            long stalledMillis = lastCheckMillis - readStartMillis;
            if (stalledMillis >= progressTimeoutMillis && responseNeededCheck.isAbandonedWhenSilent()) {
                throw HttpExchangeException.of(
                        Reason.SILENT, "await response", address, "no progress for " + stalledMillis + " ms");
            }
        }
    }
}
