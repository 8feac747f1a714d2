package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;

/** The attempts at one request that were sent. */
final class SentAttempts {
    private final Set<String> addresses = new HashSet<>();
    private int runs;
    private int prefills;

    private SentAttempts() {}

    static SentAttempts none() {
        return new SentAttempts();
    }

    /** Counts an attempt that is about to be sent to its upstream. */
    void add(UpstreamAttempt attempt) {
        addresses.add(attempt.upstream().entry().address());
        if (attempt.isPrefill()) {
            prefills++;
        } else {
            runs++;
        }
    }

    /** Counts a run at a peer. */
    void addPassed() {
        runs++;
    }

    boolean isEmpty() {
        return runs == 0 && prefills == 0;
    }

    /** Returns whether an attempt of the same kind was sent, so that the next one is a retry. */
    boolean hasOneLike(UpstreamAttempt next) {
        return next.isPrefill() ? prefills > 0 : runs > 0;
    }

    /**
     * Provides a connection on which no attempt was sent: a repeated response to an earlier attempt would bear the
     * id of the next one.
     */
    void connect(
            HttpConnectionPool pool,
            String address,
            long maximumIdleMillis,
            Consumer<Either<Failure, HttpClientConnection>> receiver) {
        if (addresses.contains(address)) {
            pool.connect(address, receiver);
        } else {
            pool.acquire(address, maximumIdleMillis, receiver);
        }
    }

    /** Returns the number of attempts to run the request, other than prefills. */
    int runs() {
        return runs;
    }

    int prefills() {
        return prefills;
    }
}
