package org.cactusshift.internal.transport.relay;

import java.util.concurrent.TimeUnit;

/** The clocks of a node, so that tests can set them. */
public interface RelayClock {
    /**
     * Returns the steady time.
     *
     * @return milliseconds from an arbitrary start
     */
    long monotonicMillis();

    /**
     * Returns the time of day.
     *
     * @return milliseconds since the start of 1970
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
