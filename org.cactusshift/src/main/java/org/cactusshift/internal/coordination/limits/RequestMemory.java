package org.cactusshift.internal.coordination.limits;

/**
 * Limits the memory of complete requests that are being served or wait behind others. A request that does not fit is
 * refused; none that was taken is ended.
 *
 * <p>Unless nothing else is held, a request may take a quarter of what is free at most, so that large requests leave
 * room for small ones.
 *
 * <p>Not thread-safe.
 */
public final class RequestMemory {
    private static final int HEAP_DIVISOR = 4;
    private static final int FREE_DIVISOR = 4;

    private final long maximumBytes;
    private long bytes;
    private long refusedCount;

    private RequestMemory(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Returns a limit.
     *
     * @param maximumBytes the bytes that all requests together may hold
     * @return the limit
     */
    public static RequestMemory of(long maximumBytes) {
        return new RequestMemory(maximumBytes);
    }

    /**
     * Returns a limit that suits the heap of this process.
     *
     * @return the limit
     */
    public static RequestMemory ofHeap() {
        return of(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /**
     * Takes memory for a request, to be released when the request has ended.
     *
     * @param requestBytes the bytes, from 0
     * @return whether the request fits; if not, nothing was taken
     */
    public boolean take(long requestBytes) {
        long freeBytes = maximumBytes - bytes;
        boolean fits = bytes == 0 ? requestBytes <= freeBytes : requestBytes <= freeBytes / FREE_DIVISOR;
        if (fits) {
            bytes += requestBytes;
        } else {
            refusedCount++;
        }
        return fits;
    }

    /**
     * Releases the memory of a request.
     *
     * @param requestBytes the bytes that were taken for it
     */
    public void release(long requestBytes) {
        bytes -= requestBytes;
    }

    /**
     * Returns what all requests hold.
     *
     * @return the bytes
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Returns how many requests did not fit.
     *
     * @return the number since the start
     */
    public long refusedCount() {
        return refusedCount;
    }
}
