package org.cactusshift.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/** The log of the requests that a stand-in received, oldest first; bounded to the latest 100,000. */
public final class ReceivedLog {
    private static final int MAXIMUM_REQUESTS = 100_000;

    private final Deque<ReceivedRequest> requests = new ArrayDeque<>();

    private long lastSequence;

    ReceivedLog() {}

    synchronized ReceivedRequest add(StandInRequest request, long nowMillis) {
        lastSequence++;
        ReceivedRequest received = new ReceivedRequest(lastSequence, nowMillis, request);
        requests.addLast(received);
        if (requests.size() > MAXIMUM_REQUESTS) {
            requests.removeFirst();
        }
        return received;
    }

    /**
     * Returns the logged requests.
     *
     * @return a copy, oldest first
     */
    public synchronized List<ReceivedRequest> all() {
        return List.copyOf(requests);
    }

    /**
     * Returns the logged requests that match a condition.
     *
     * @param condition the condition
     * @return the requests, oldest first
     */
    public List<ReceivedRequest> matching(Predicate<ReceivedRequest> condition) {
        return all().stream().filter(condition).toList();
    }

    /**
     * Returns the logged requests of an attempt.
     *
     * @param attemptId the value of {@code X-Request-Id}
     * @return the requests, oldest first
     */
    public List<ReceivedRequest> withAttemptId(String attemptId) {
        return matching(request -> request.attemptId().equals(attemptId));
    }

    /**
     * Returns the number of requests received since the stand-in was created.
     *
     * @return the number, including requests that are no longer logged
     */
    public synchronized long count() {
        return lastSequence;
    }
}
