package org.cactusshift.internal.coordination.limits;

/**
 * Limits the memory of all responses that a node keeps because they are not complete, so that upstreams that send bytes
 * without end do not take the memory of the callers of others. While the limit is exceeded, a response that holds more
 * than an equal share of it may not grow.
 *
 * <p>Not thread-safe.
 */
public final class ResponseBufferLimit {
    /** A buffer takes up to twice its content while it grows, and the heap holds more than responses. */
    private static final int HEAP_DIVISOR = 8;

    private final long maximumBytes;
    private long bytes;
    private int responses;

    private ResponseBufferLimit(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Returns a limit.
     *
     * @param maximumBytes the bytes that all responses together may hold before the largest are ended
     * @return the limit
     */
    public static ResponseBufferLimit of(long maximumBytes) {
        return new ResponseBufferLimit(maximumBytes);
    }

    /**
     * Returns a limit that suits the heap of this process.
     *
     * @return the limit
     */
    public static ResponseBufferLimit ofHeap() {
        return of(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /**
     * Returns an account for one response, which holds nothing yet.
     *
     * @return the account
     */
    public Account open() {
        return new Account();
    }

    /**
     * Returns what all responses hold.
     *
     * @return the bytes
     */
    public long bytes() {
        return bytes;
    }

    /** What one response holds. */
    public final class Account {
        private long heldBytes;

        private Account() {}

        /**
         * Records what the response holds now.
         *
         * @param newBytes the bytes
         * @return false if it has grown and holds too much, so that it must be ended
         */
        public boolean hold(long newBytes) {
            boolean grows = newBytes > heldBytes;
            if (heldBytes == 0 && newBytes > 0) {
                responses++;
            } else if (heldBytes > 0 && newBytes == 0) {
                responses--;
            }
            bytes += newBytes - heldBytes;
            heldBytes = newBytes;
            return !grows || bytes <= maximumBytes || newBytes <= maximumBytes / responses;
        }

        /** Records that the response holds nothing any more. */
        public void close() {
            hold(0);
        }
    }
}
