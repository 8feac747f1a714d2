package org.cactusshift.standin;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/** Creates the daemon threads of the stand-ins, which do not keep the process alive. */
public final class DaemonThreads {
    private DaemonThreads() {}

    /**
     * Returns a factory of named daemon threads.
     *
     * @param name the prefix of the thread names
     * @return the factory
     */
    public static ThreadFactory named(String name) {
        AtomicInteger number = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}
