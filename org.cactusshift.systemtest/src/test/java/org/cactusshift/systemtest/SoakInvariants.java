package org.cactusshift.systemtest;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** What callers, upstreams and the platform saw during a soak, and the promises that it breaks. */
final class SoakInvariants {
    /** Statuses that promise that a request has not run and never will. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private static final Set<Integer> DENIED = Set.of(400, 401, 403, 404, 413, 431);

    private final Map<String, String> sent = new HashMap<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Map<Long, String> usageByWindow = new HashMap<>();
    private final Map<Long, String> holderByNumber = new HashMap<>();
    private final Map<Integer, Integer> answers = new HashMap<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private long highestNumber;

    synchronized void onSent(String id, String path) {
        sent.put(id, path);
    }

    /** Notes that an upstream begins to run a request. */
    synchronized void onRun(String id, String path, boolean onlyOnce) {
        if (!path.equals(sent.get(id))) {
            violate("UNASKED: " + id + " ran with " + path + ", sent with " + sent.get(id));
        }
        if (runs.merge(id, 1, Integer::sum) > 1 && onlyOnce) {
            violate("TWICE: " + id + " ran " + runs.get(id) + " times");
        }
        if (refused.contains(id) && onlyOnce) {
            violate("REFUSED: " + id + " runs after it was refused");
        }
    }

    /** Notes a final answer; status 0 stands for a connection that ended without one. */
    synchronized void onAnswer(String id, int status, boolean onlyOnce) {
        answers.merge(status, 1, Integer::sum);
        if (NOT_RUN.contains(status) && onlyOnce) {
            refused.add(id);
            if (runs.containsKey(id)) {
                violate("REFUSED: " + id + " was answered " + status + " and had run");
            }
        }
        if (DENIED.contains(status)) {
            violate("DENIED: " + id + " was answered " + status);
        }
    }

    synchronized boolean hasRun(String id) {
        return runs.containsKey(id);
    }

    /** Takes a usage report; returns false when a newer holder was seen. */
    synchronized boolean onUsage(String holder, long number, long window, String body) {
        if (number < highestNumber) {
            return false;
        }
        highestNumber = number;
        String other = holderByNumber.putIfAbsent(number, holder);
        if (other != null && !other.equals(holder)) {
            violate("ONE: " + other + " and " + holder + " both use number " + number);
        }
        String before = usageByWindow.putIfAbsent(window, body);
        if (before != null && !before.equals(body)) {
            violate("ONE: window " + window + " was reported as " + before + " and as " + body);
        }
        return true;
    }

    void violate(String violation) {
        violations.add(violation);
    }

    List<String> violations() {
        return violations;
    }

    synchronized int answered(int status) {
        return answers.getOrDefault(status, 0);
    }

    synchronized int reportedWindows() {
        return usageByWindow.size();
    }

    @Override
    public synchronized String toString() {
        return sent.size() + " requests, answers by status " + answers + ", " + usageByWindow.size()
                + " usage windows reported, violations " + violations;
    }
}
