package org.cactusshift.internal.transport.relay;

import org.cactusshift.internal.coordination.limits.BufferLimit;
import org.cactusshift.internal.coordination.limits.RequestMemory;

/**
 * The limits for what a node holds on behalf of its callers.
 *
 * @param responses bytes that callers have not read yet; the largest response is ended first
 * @param uploads bytes of requests that are not complete; the slowest upload is ended first
 * @param requests bodies of requests that are being served or wait behind others
 */
public record CallerMemory(BufferLimit responses, BufferLimit uploads, RequestMemory requests) {
    /**
     * Returns limits that suit the heap of this process.
     *
     * @return the limits
     */
    public static CallerMemory ofHeap() {
        return new CallerMemory(
                BufferLimit.ofHeap(BufferLimit.Selection.LARGEST),
                BufferLimit.ofHeap(BufferLimit.Selection.SLOWEST),
                RequestMemory.ofHeap());
    }
}
