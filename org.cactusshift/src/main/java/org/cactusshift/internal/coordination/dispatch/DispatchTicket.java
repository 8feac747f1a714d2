package org.cactusshift.internal.coordination.dispatch;

import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.RequestId;

/**
 * Receives the decisions about one request. The methods are called by the thread of the request; other threads deliver
 * the decisions.
 */
public final class DispatchTicket implements AutoCloseable {
    private final RequestId request;
    private final SynchronizedDispatcher dispatcher;
    private final BlockingQueue<DispatchDecision> decisions = new LinkedBlockingQueue<>();

    DispatchTicket(RequestId request, SynchronizedDispatcher dispatcher) {
        this.request = request;
        this.dispatcher = dispatcher;
    }

    /**
     * Returns the id of the request.
     *
     * @return the request's id
     */
    public RequestId request() {
        return request;
    }

    /**
     * Waits for the next decision.
     *
     * @param maximumWaitMillis the longest wait, in milliseconds
     * @return the decision, or empty when none arrived in time
     * @throws InterruptedException if the thread is interrupted
     */
    public Optional<DispatchDecision> await(long maximumWaitMillis) throws InterruptedException {
        return Optional.ofNullable(decisions.poll(maximumWaitMillis, TimeUnit.MILLISECONDS));
    }

    /**
     * Reports output tokens that have been delivered to the caller.
     *
     * @param attempt the attempt
     * @param outputTokens tokens delivered since the last report
     */
    public void onProgress(AttemptId attempt, int outputTokens) {
        dispatcher.onProgress(attempt, outputTokens);
    }

    /**
     * Reports the end of an attempt; another decision may follow unless the attempt completed or was cancelled.
     *
     * @param attempt the attempt
     * @param end how it ended
     */
    public void onAttemptEnd(AttemptId attempt, AttemptEnd end) {
        dispatcher.onAttemptEnd(attempt, end);
    }

    /**
     * Reports that the upstream of an open attempt is silent. If another attempt can replace it now, the silent one
     * ends, and the decision about the other one follows; its end need not be reported again.
     *
     * @param attempt the attempt
     * @param end how it ends if it is replaced
     * @return whether it was replaced; false when it stays open
     */
    public boolean replaceSilent(AttemptId attempt, AttemptEnd end) {
        return dispatcher.replaceSilent(attempt, end);
    }

    /**
     * Abandons the request: a queued request is removed from the queue, an open attempt is ended as cancelled. Does
     * nothing when the request has ended.
     */
    @Override
    public void close() {
        dispatcher.close(this);
    }

    void put(DispatchDecision decision) {
        decisions.add(decision);
    }
}
