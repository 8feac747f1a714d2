package org.cactusshift.internal.coordination;

import java.util.Objects;
import java.util.concurrent.ThreadFactory;

/** Creates thread factories for daemon threads, which do not keep the process alive. */
public final class DaemonThreads {
    private DaemonThreads() {}

    /**
     * Returns a factory of daemon threads.
     *
     * @param name the name of the threads
     * @return the thread factory
     */
    public static ThreadFactory named(String name) {
        Objects.requireNonNull(name, "name");
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
