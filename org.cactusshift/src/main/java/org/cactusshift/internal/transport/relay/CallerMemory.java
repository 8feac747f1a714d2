package org.cactusshift.internal.transport.relay;

import org.cactusshift.internal.coordination.limits.BufferLimit;

/**
 * The limits for what a node holds on behalf of slow callers.
 *
 * @param responses bytes that callers have not read yet; the largest response is ended first
 * @param uploads bytes of requests that are not complete; the slowest upload is ended first
 */
public record CallerMemory(BufferLimit responses, BufferLimit uploads) {
    /**
     * Returns limits that suit the heap of this process.
     *
     * @return the limits
     */
    public static CallerMemory ofHeap() {
        return new CallerMemory(
                BufferLimit.ofHeap(BufferLimit.Selection.LARGEST), BufferLimit.ofHeap(BufferLimit.Selection.SLOWEST));
    }
}
