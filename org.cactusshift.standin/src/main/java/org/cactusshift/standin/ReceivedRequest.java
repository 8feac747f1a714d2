package org.cactusshift.standin;

import java.util.Map;

/** A request that a stand-in received. */
public final class ReceivedRequest {
    /** The outcome of a request. */
    public enum Outcome {
        /** The request has not ended; a pause or a stall may block it. */
        RUNNING,
        /** The request took effect. A streamed response was sent completely; any other was handed to the connection. */
        ANSWERED,
        /** The stand-in was unavailable, or answered with a status of 400 or above. */
        REFUSED,
        /** The request was handled and an injected fault dropped or replaced its response. */
        ANSWER_DROPPED,
        /** The request was interrupted without a crash: the caller closed the connection, or the handler ended it. */
        CANCELLED,
        /** The request was interrupted as the stand-in crashed or was closed. */
        CRASHED,
        /** The request was interrupted by an order that took the engine out of service. */
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
     * Returns the sequence number of the request.
     *
     * @return the sequence number, from 1
     */
    public long sequence() {
        return sequence;
    }

    /**
     * Returns when the request was received.
     *
     * @return the time, in milliseconds since 1970 (UTC)
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
     * Returns the received headers.
     *
     * @return the values by lower-case name; values of a repeated header are joined by a comma
     */
    public Map<String, String> headers() {
        return headers;
    }

    /**
     * Returns the first part of the body.
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
        return headers.getOrDefault(StandInRequest.ATTEMPT_ID_HEADER, "");
    }

    /**
     * Returns the outcome of the request.
     *
     * @return the outcome; {@code RUNNING} until the request has ended
     */
    public Outcome outcome() {
        return outcome;
    }

    /** Records the outcome unless one was recorded before. */
    synchronized void recordOutcome(Outcome newOutcome) {
        if (outcome == Outcome.RUNNING) {
            outcome = newOutcome;
        }
    }

    @Override
    public String toString() {
        return sequence + " " + method + " " + path + " " + attemptId() + " " + outcome;
    }
}
