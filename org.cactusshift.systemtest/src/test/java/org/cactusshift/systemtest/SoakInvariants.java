package org.cactusshift.systemtest;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Records what callers, upstreams and the platform observe during a soak test, and collects violated guarantees. A
 * violation begins with its kind and a colon:
 *
 * <ul>
 *   <li>UNASKED: a request ran with another target than it was sent with;
 *   <li>TWICE: a non-repeatable request ran more than once;
 *   <li>REFUSED: a non-repeatable request ran although it was refused as not run;
 *   <li>DENIED: a valid request, other than a route probe, got a status for invalid requests;
 *   <li>ONE: two holders used one fencing number, or one usage window was reported with two contents;
 *   <li>LOST: a request ran and its connection ended without a response, with no recent unplanned interruption of the
 *       node or of its connections to callers;
 *   <li>CONFIG: a node no longer served a route that it had served before;
 *   <li>MIXED: a non-streamed response had other content than expected;
 *   <li>ORDER, LIMIT and LOST: see {@link SoakStreamJudge} and {@link SoakLimitJudge}.
 * </ul>
 */
final class SoakInvariants {
    /** Statuses which guarantee that the request has not run and will not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /** Statuses for invalid requests, which no request of the soak test may receive. */
    private static final Set<Integer> DENIED_STATUSES = Set.of(400, 401, 403, 404, 413, 431);

    private final Map<String, String> pathById = new HashMap<>();
    private final Map<String, SoakNode> nodeById = new HashMap<>();
    private final Map<String, Integer> runsById = new HashMap<>();
    private final Set<String> refusedIds = new HashSet<>();
    private final Map<Long, String> usageByWindow = new HashMap<>();
    private final Map<Long, String> holderByFencingNumber = new HashMap<>();
    private final Map<Integer, Integer> responsesByStatus = new HashMap<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();
    private final List<SoakLostRequest> lostRequests = new CopyOnWriteArrayList<>();
    private long highestFencingNumber;
    private int cutRequests;

    synchronized void onSent(String id, String path, SoakNode node) {
        pathById.put(id, path);
        nodeById.put(id, node);
    }

    /** Returns whether a request was sent to a node that has been in touch until now. */
    synchronized boolean isFromNodeInTouch(String id) {
        return nodeById.containsKey(id) && nodeById.get(id).wasInTouch(System.nanoTime());
    }

    /** Returns a name of the node that a request was sent to. */
    synchronized String nodeOf(String id) {
        return String.valueOf(nodeById.get(id));
    }

    /** Records that an upstream starts to run a request. */
    synchronized void onRun(String id, String path, boolean nonRepeatable) {
        if (!path.equals(pathById.get(id))) {
            addViolation("UNASKED: " + id + " ran with " + path + ", sent with " + pathById.get(id));
        }
        if (runsById.merge(id, 1, Integer::sum) > 1 && nonRepeatable) {
            addViolation("TWICE: " + id + " ran " + runsById.get(id) + " times");
        }
        if (refusedIds.contains(id) && nonRepeatable) {
            addViolation("REFUSED: " + id + " started to run after it was refused");
        }
    }

    /** Records the response to a call; status 0 stands for a connection that ended without one. */
    synchronized void onResponse(String id, int status, boolean nonRepeatable) {
        responsesByStatus.merge(status, 1, Integer::sum);
        if (NOT_RUN_STATUSES.contains(status) && nonRepeatable) {
            refusedIds.add(id);
            if (runsById.containsKey(id)) {
                addViolation("REFUSED: " + id + " was refused with status " + status + " but had run");
            }
        }
        if (DENIED_STATUSES.contains(status)) {
            addViolation("DENIED: " + id + " was rejected with status " + status);
        }
    }

    synchronized boolean hasStartedToRun(String id) {
        return runsById.containsKey(id);
    }

    /**
     * Records a usage report and returns whether it is accepted: false when a report with a higher fencing number was
     * received before.
     */
    synchronized boolean onUsageReport(String holder, long fencingNumber, long window, String body) {
        if (fencingNumber < highestFencingNumber) {
            return false;
        }
        highestFencingNumber = fencingNumber;
        String otherHolder = holderByFencingNumber.putIfAbsent(fencingNumber, holder);
        if (otherHolder != null && !otherHolder.equals(holder)) {
            addViolation("ONE: " + otherHolder + " and " + holder + " both use fencing number " + fencingNumber);
        }
        String previous = usageByWindow.putIfAbsent(window, body);
        if (previous != null && !previous.equals(body)) {
            addViolation("ONE: window " + window + " was reported as " + previous + " and as " + body);
        }
        return true;
    }

    /**
     * Records that a request ran and its connection ended without a response. It is lost unless an unplanned
     * interruption of the node or of its connections to callers was near.
     */
    synchronized void onCut(SoakLostRequest cut, boolean interrupted) {
        cutRequests++;
        if (!interrupted) {
            lostRequests.add(cut);
            addViolation("LOST: " + cut.id() + " ran and its connection ended without a response");
        }
    }

    void addViolation(String violation) {
        violations.add(violation);
    }

    List<String> violations() {
        return violations;
    }

    List<SoakLostRequest> lostRequests() {
        return lostRequests;
    }

    /** Returns the number of requests that ran and whose connection ended without a response, lost or not. */
    synchronized int cutRequestCount() {
        return cutRequests;
    }

    /** Returns the number of requests that have started to run. */
    synchronized int startedRequestCount() {
        return runsById.size();
    }

    synchronized int responseCount(int status) {
        return responsesByStatus.getOrDefault(status, 0);
    }

    synchronized int reportedWindowCount() {
        return usageByWindow.size();
    }

    @Override
    public synchronized String toString() {
        return pathById.size() + " requests, responses by status " + responsesByStatus + ", " + usageByWindow.size()
                + " usage windows reported, violations " + violations;
    }
}
