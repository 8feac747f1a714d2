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
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private static final Set<Integer> DENIED_STATUSES = Set.of(400, 401, 403, 404, 413, 431);

    private final Map<String, String> pathById = new HashMap<>();
    private final Map<String, Integer> runsById = new HashMap<>();
    private final Set<String> refusedIds = new HashSet<>();
    private final Map<Long, String> usageByWindow = new HashMap<>();
    private final Map<Long, String> holderByFencingNumber = new HashMap<>();
    private final Map<Integer, Integer> responsesByStatus = new HashMap<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private long highestFencingNumber;

    synchronized void onSent(String id, String path) {
        pathById.put(id, path);
    }

    /** Notes that an upstream begins to run a request. */
    synchronized void onRun(String id, String path, boolean onlyOnce) {
        if (!path.equals(pathById.get(id))) {
            addViolation("UNASKED: " + id + " ran with " + path + ", sent with " + pathById.get(id));
        }
        if (runsById.merge(id, 1, Integer::sum) > 1 && onlyOnce) {
            addViolation("TWICE: " + id + " ran " + runsById.get(id) + " times");
        }
        if (refusedIds.contains(id) && onlyOnce) {
            addViolation("REFUSED: " + id + " runs after it was refused");
        }
    }

    /** Notes a final answer; status 0 stands for a connection that ended without one. */
    synchronized void onResponse(String id, int status, boolean onlyOnce) {
        responsesByStatus.merge(status, 1, Integer::sum);
        if (NOT_RUN_STATUSES.contains(status) && onlyOnce) {
            refusedIds.add(id);
            if (runsById.containsKey(id)) {
                addViolation("REFUSED: " + id + " was answered " + status + " and had run");
            }
        }
        if (DENIED_STATUSES.contains(status)) {
            addViolation("DENIED: " + id + " was answered " + status);
        }
    }

    synchronized boolean hasRun(String id) {
        return runsById.containsKey(id);
    }

    /** Takes a usage report; returns false when a newer holder was seen. */
    synchronized boolean onUsageReport(String holder, long number, long window, String body) {
        if (number < highestFencingNumber) {
            return false;
        }
        highestFencingNumber = number;
        String other = holderByFencingNumber.putIfAbsent(number, holder);
        if (other != null && !other.equals(holder)) {
            addViolation("ONE: " + other + " and " + holder + " both use number " + number);
        }
        String before = usageByWindow.putIfAbsent(window, body);
        if (before != null && !before.equals(body)) {
            addViolation("ONE: window " + window + " was reported as " + before + " and as " + body);
        }
        return true;
    }

    void addViolation(String violation) {
        violations.add(violation);
    }

    List<String> violations() {
        return violations;
    }

    synchronized int responseCount(int status) {
        return responsesByStatus.getOrDefault(status, 0);
    }

    synchronized int reportedWindowCount() {
        return usageByWindow.size();
    }

    @Override
    public synchronized String toString() {
        return pathById.size() + " requests, answers by status " + responsesByStatus + ", " + usageByWindow.size()
                + " usage windows reported, violations " + violations;
    }
}
