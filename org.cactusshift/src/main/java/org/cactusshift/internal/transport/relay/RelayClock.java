package org.cactusshift.internal.transport.relay;

import java.util.concurrent.TimeUnit;

/** The monotonic and the wall clock of a node; an interface, so that tests can set them. */
public interface RelayClock {
    /**
     * Returns the monotonic time.
     *
     * @return milliseconds since an arbitrary origin
     */
    long monotonicMillis();

    /**
     * Returns the wall-clock time.
     *
     * @return milliseconds since the Unix epoch
     */
    long epochMillis();

    /**
     * Returns the clocks of this machine.
     *
     * @return the clocks
     */
    static RelayClock system() {
        return new RelayClock() {
            @Override
            public long monotonicMillis() {
                return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
            }

            @Override
            public long epochMillis() {
                return System.currentTimeMillis();
            }
        };
    }
}
