package org.cactusshift.internal.coordination.routing.planted;

import java.net.Socket;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;

/** Classes that violate the architecture rules on purpose, as input for the test of these rules. */
public final class PlantedViolations {
    private PlantedViolations() {}

    /** Reads the monotonic clock. */
    public static final class ReadsClock {
        long now() {
            return System.nanoTime();
        }
    }

    /** Reads the wall clock. */
    public static final class ReadsWallClock {
        Instant now() {
            return Instant.now();
        }
    }

    /** Opens a socket. */
    public static final class OpensSocket {
        Object open() {
            return new Socket();
        }
    }

    /** Starts a thread. */
    public static final class StartsThread {
        void start() {
            new Thread(() -> {}).start();
        }
    }

    /** Starts a thread pool. */
    public static final class StartsPool {
        Object start() {
            return Executors.newCachedThreadPool();
        }
    }

    /** Runs a completion stage in another thread. */
    public static final class RunsAsynchronously {
        Object start() {
            return CompletableFuture.runAsync(() -> {});
        }
    }
}
