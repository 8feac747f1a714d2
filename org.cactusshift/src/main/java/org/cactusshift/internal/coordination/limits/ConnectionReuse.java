package org.cactusshift.internal.coordination.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether connections are kept after an exchange. Those to an address whose responses repeatedly answer no
 * request are not: on a new connection no second response to an earlier request can arrive.
 */
public final class ConnectionReuse {
    private static final int MAXIMUM_MISMATCHES = 3;
    private static final long WINDOW_MILLIS = 10_000;
    private static final long SUSPENSION_MILLIS = 10_000;

    private final Map<String, Address> addresses = new HashMap<>();

    private ConnectionReuse() {}

    /** The mismatches of one address. */
    private static final class Address {
        private long windowStartMillis;
        private int mismatches;
        private long suspendedUntilMillis;

        private Address(long nowMillis) {
            windowStartMillis = nowMillis;
            suspendedUntilMillis = nowMillis;
        }
    }

    /**
     * Returns a rule without mismatches.
     *
     * @return the rule
     */
    public static ConnectionReuse create() {
        return new ConnectionReuse();
    }

    /**
     * Records a response that answers no request of its connection.
     *
     * @param address the remote address
     * @param nowMillis the current monotonic time, in milliseconds
     * @return whether connections to the address are no longer kept from now on
     */
    public boolean onMismatch(String address, long nowMillis) {
        Address record = addresses.computeIfAbsent(address, key -> new Address(nowMillis));
        if (nowMillis - record.windowStartMillis >= WINDOW_MILLIS) {
            record.windowStartMillis = nowMillis;
            record.mismatches = 0;
        }
        record.mismatches++;
        if (record.mismatches <= MAXIMUM_MISMATCHES) {
            return false;
        }
        boolean wasAllowed = isAllowed(address, nowMillis);
        record.suspendedUntilMillis = nowMillis + SUSPENSION_MILLIS;
        return wasAllowed;
    }

    /**
     * Returns whether a connection may be kept after an exchange.
     *
     * @param address the remote address
     * @param nowMillis the current monotonic time, in milliseconds
     * @return whether it may be kept
     */
    public boolean isAllowed(String address, long nowMillis) {
        Address record = addresses.get(address);
        return record == null || nowMillis >= record.suspendedUntilMillis;
    }

    /**
     * Forgets addresses whose last mismatches are long ago.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void removeExpired(long nowMillis) {
        addresses
                .values()
                .removeIf(record -> nowMillis >= record.suspendedUntilMillis
                        && nowMillis - record.windowStartMillis >= WINDOW_MILLIS);
    }
}
