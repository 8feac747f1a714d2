package org.cactusshift.internal.coordination.limits;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits the memory that all connections of one kind hold at a node. When the limit is exceeded, connections are ended
 * until it is met again; the selection decides in which order.
 *
 * <p>Not thread-safe.
 */
public final class BufferLimit {
    /** Incomplete responses, output to slow callers and uploads have this share each. */
    private static final int HEAP_DIVISOR = 8;

    private final Selection selection;
    private final long maximumBytes;

    /** The accounts that hold something, in no order. */
    private final List<Account> holders = new ArrayList<>();

    private long bytes;
    private long endedCount;

    private BufferLimit(Selection selection, long maximumBytes) {
        this.selection = selection;
        this.maximumBytes = maximumBytes;
    }

    /** Which connection is ended first. */
    public enum Selection {
        /** The one that holds most. */
        LARGEST,
        /**
         * The one that has received the fewest bytes a second, among those that hold the mean or more. To end one that
         * holds less would free little, so that many would be ended.
         */
        SLOWEST
    }

    /**
     * Returns a limit.
     *
     * @param selection which connection is ended first
     * @param maximumBytes the bytes that all connections together may hold
     * @return the limit
     */
    public static BufferLimit of(Selection selection, long maximumBytes) {
        return new BufferLimit(selection, maximumBytes);
    }

    /**
     * Returns a limit that suits the heap of this process.
     *
     * @param selection which connection is ended first
     * @return the limit
     */
    public static BufferLimit ofHeap(Selection selection) {
        return of(selection, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /**
     * Returns an account for one connection, which holds nothing yet.
     *
     * @param startedAtMillis the monotonic time from which the speed is measured, in milliseconds
     * @param end ends the connection; called at most once
     * @return the account
     */
    public Account open(long startedAtMillis, Runnable end) {
        return new Account(startedAtMillis, end);
    }

    /**
     * Returns what all connections hold.
     *
     * @return the bytes
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Returns how many connections were ended because of the limit.
     *
     * @return the number since the start
     */
    public long endedCount() {
        return endedCount;
    }

    private void enforce(long nowMillis) {
        while (bytes > maximumBytes) {
            Account ended = selection == Selection.LARGEST ? largest() : slowest(nowMillis);
            ended.close();
            endedCount++;
            ended.end.run();
        }
    }

    private Account largest() {
        Account largest = holders.get(0);
        for (Account holder : holders) {
            if (holder.heldBytes > largest.heldBytes) {
                largest = holder;
            }
        }
        return largest;
    }

    private Account slowest(long nowMillis) {
        long meanBytes = bytes / holders.size();
        Account slowest = null;
        for (Account holder : holders) {
            if (holder.heldBytes >= meanBytes
                    && (slowest == null || holder.bytesPerMilli(nowMillis) < slowest.bytesPerMilli(nowMillis))) {
                slowest = holder;
            }
        }
        return slowest;
    }

    /** What one connection holds. */
    public final class Account {
        private final long startedAtMillis;
        private final Runnable end;
        private long heldBytes;

        /** The place among the holders, while something is held. */
        private int index;

        private boolean closed;

        private Account(long startedAtMillis, Runnable end) {
            this.startedAtMillis = startedAtMillis;
            this.end = end;
        }

        private double bytesPerMilli(long nowMillis) {
            return (double) heldBytes / Math.max(1, nowMillis - startedAtMillis);
        }

        /**
         * Records what the connection holds now; may end this connection or others. Has no effect once closed.
         *
         * @param newBytes the bytes
         * @param nowMillis the current monotonic time, in milliseconds
         * @return whether this connection may go on
         */
        public boolean hold(long newBytes, long nowMillis) {
            if (closed) {
                return false;
            }
            boolean grows = newBytes > heldBytes;
            set(newBytes);
            if (grows) {
                enforce(nowMillis);
            }
            return !closed;
        }

        private void set(long newBytes) {
            if (heldBytes == 0 && newBytes > 0) {
                index = holders.size();
                holders.add(this);
            } else if (heldBytes > 0 && newBytes == 0) {
                Account last = holders.remove(holders.size() - 1);
                if (last != this) {
                    holders.set(index, last);
                    last.index = index;
                }
            }
            bytes += newBytes - heldBytes;
            heldBytes = newBytes;
        }

        /** Records that the connection holds nothing any more and is not ended by the limit. */
        public void close() {
            if (!closed) {
                set(0);
                closed = true;
            }
        }
    }
}
