package org.cactusshift.standin;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.io.CloseMode;

/** One request and its response on a connection of a stand-in. */
final class StandInExchange {
    private static final long POLL_MILLIS = 5;

    private final StandInServer server;

    private final DefaultBHttpServerConnection connection;

    private volatile ReceivedRequest received;

    StandInExchange(StandInServer server, DefaultBHttpServerConnection connection) {
        this.server = server;
        this.connection = connection;
    }

    void setReceived(ReceivedRequest received) {
        this.received = received;
    }

    void recordOutcome(ReceivedRequest.Outcome outcome) {
        received.recordOutcome(outcome);
    }

    void abort() {
        connection.close(CloseMode.IMMEDIATE);
    }

    /** Returns whether the stand-in was stopped or the connection was closed by either side. */
    boolean isConnectionLost() {
        if (!server.belongsToCurrentStart(connection) || !connection.isOpen()) {
            return true;
        }
        try {
            return connection.isStale();
        } catch (IOException e) {
            return true;
        }
    }

    void awaitUnblocked() throws IOException {
        while (server.isBlocked(connection)) {
            if (isConnectionLost()) {
                throw new IOException(
                        "the connection was lost while the stand-in was paused or the connection stalled");
            }
            sleep(POLL_MILLIS);
        }
        if (!server.belongsToCurrentStart(connection)) {
            throw new IOException("the stand-in was stopped; the request is dropped");
        }
    }

    static void sleep(long millis) throws InterruptedIOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        }
    }
}
