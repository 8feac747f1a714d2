package org.cactusshift.internal.transport.relay;

/** A clock that tests set by hand. */
final class SettableClock implements RelayClock {
    long monotonicMillis = 1_000;
    long epochMillis = 1_700_000_000_000L;

    @Override
    public long monotonicMillis() {
        return monotonicMillis;
    }

    @Override
    public long epochMillis() {
        return epochMillis;
    }
}
