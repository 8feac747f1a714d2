package org.cactusshift.internal.transport.relay;

/** A clock that tests set. */
final class SettableClock implements RelayClock {
    long steadyMillis = 1_000;
    long unixMillis = 1_700_000_000_000L;

    @Override
    public long monotonicMillis() {
        return steadyMillis;
    }

    @Override
    public long epochMillis() {
        return unixMillis;
    }
}
