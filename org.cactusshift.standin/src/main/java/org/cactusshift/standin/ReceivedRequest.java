package org.cactusshift.standin;

import java.util.Map;

/** One request that a stand-in received. */
public final class ReceivedRequest {
    /** What became of a request. */
    public enum Outcome {
        /** It is being handled, or it waits for ever. */
        RUNNING,
        /** It took effect and was answered to the end. */
        ANSWERED,
        /** It was refused before it took effect. */
        REFUSED,
        /** It took effect, and its answer was dropped on purpose. */
        ANSWER_DROPPED,
        /** The caller went away before the end of the answer. */
        CANCELLED,
        /** A crash or the end of the stand-in broke it off. */
        CRASHED,
        /** An order took the engine out of service while it ran. */
        CUT_BY_ORDER
    }

    private static final int MAXIMUM_BODY_CHARS = 2048;

    private final long sequence;

    private final long receivedAtMillis;

    private final String method;

    private final String path;

    private final Map<String, String> headers;

    private final String body;

    private volatile Outcome outcome = Outcome.RUNNING;

    ReceivedRequest(long sequence, long receivedAtMillis, StandInRequest request) {
        this.sequence = sequence;
        this.receivedAtMillis = receivedAtMillis;
        this.method = request.method();
        this.path = request.path();
        this.headers = request.headers();
        String text = request.body();
        this.body = text.length() > MAXIMUM_BODY_CHARS ? text.substring(0, MAXIMUM_BODY_CHARS) : text;
    }

    /**
     * Returns the place of the request in the log.
     *
     * @return the number, from 1
     */
    public long sequence() {
        return sequence;
    }

    /**
     * Returns when the request was received.
     *
     * @return the time, in milliseconds since 1970
     */
    public long receivedAtMillis() {
        return receivedAtMillis;
    }

    /**
     * Returns the method.
     *
     * @return the HTTP method
     */
    public String method() {
        return method;
    }

    /**
     * Returns the path without the query.
     *
     * @return the path
     */
    public String path() {
        return path;
    }

    /**
     * Returns every header received.
     *
     * @return the values by lower-case name; values of a repeated header are joined by a comma
     */
    public Map<String, String> headers() {
        return headers;
    }

    /**
     * Returns the start of the body.
     *
     * @return the first 2,048 characters
     */
    public String body() {
        return body;
    }

    /**
     * Returns the attempt id.
     *
     * @return the value of {@code X-Request-Id}; empty when absent
     */
    public String attemptId() {
        return headers.getOrDefault(StandInRequest.REQUEST_ID_HEADER, "");
    }

    /**
     * Returns what became of the request so far.
     *
     * @return the outcome
     */
    public Outcome outcome() {
        return outcome;
    }

    /** Sets the outcome unless a final one is known. */
    synchronized void recordOutcome(Outcome ended) {
        if (outcome == Outcome.RUNNING) {
            outcome = ended;
        }
    }

    @Override
    public String toString() {
        return sequence + " " + method + " " + path + " " + attemptId() + " " + outcome;
    }
}
