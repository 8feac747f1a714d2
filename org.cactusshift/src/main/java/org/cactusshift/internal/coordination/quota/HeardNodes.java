package org.cactusshift.internal.coordination.quota;

import java.util.HashMap;
import java.util.Map;
import org.cactusshift.id.InstanceId;

/** Counts the nodes whose share of the quotas a coordinator may grant: those that it has heard from lately. */
public final class HeardNodes {
    /** How long a count is used, since each request needs one. */
    private static final long COUNT_MILLIS = 100;

    private final InstanceId self;
    private final Map<InstanceId, Long> heardAtMillisByNode = new HashMap<>();
    private final Map<InstanceId, Long> ownShareAtMillisByNode = new HashMap<>();

    private QuotaSite counted = new QuotaSite(1, 1);
    private long countedAtMillis = Long.MIN_VALUE / 2;

    private HeardNodes(InstanceId self) {
        this.self = self;
    }

    /**
     * Returns a count in which only this node is heard.
     *
     * @param self this node
     * @return the count
     */
    public static HeardNodes create(InstanceId self) {
        return new HeardNodes(self);
    }

    /**
     * Records a message of a node.
     *
     * @param node the node
     * @param nowMillis the current monotonic time
     */
    public void onMessage(InstanceId node, long nowMillis) {
        if (!node.equals(self)) {
            heardAtMillisByNode.put(node, nowMillis);
        }
    }

    /**
     * Records a request for credit. A node that uses its own share may be heard although no answer reaches it, so it
     * does not count until it has sent a request without that statement, or none for a while.
     *
     * @param request the request
     * @param nowMillis the current monotonic time
     */
    public void onRequest(QuotaRequest request, long nowMillis) {
        onMessage(request.node(), nowMillis);
        if (request.usesOwnShare()) {
            ownShareAtMillisByNode.put(request.node(), nowMillis);
        } else {
            ownShareAtMillisByNode.remove(request.node());
        }
    }

    /**
     * Returns how many nodes share the quotas.
     *
     * @param nodes the number of nodes of the site
     * @param nowMillis the current monotonic time
     * @return the numbers of nodes and of heard nodes
     */
    public QuotaSite site(int nodes, long nowMillis) {
        if (nodes != counted.nodes() || nowMillis >= countedAtMillis + COUNT_MILLIS) {
            counted = count(nodes, nowMillis);
            countedAtMillis = nowMillis;
        }
        return counted;
    }

    private QuotaSite count(int nodes, long nowMillis) {
        long silenceMillis = QuotaSite.silenceMillis(nodes);
        heardAtMillisByNode.values().removeIf(heard -> nowMillis - heard > silenceMillis);
        ownShareAtMillisByNode.values().removeIf(used -> nowMillis - used > silenceMillis);
        int heard = heardAtMillisByNode.size();
        for (InstanceId node : ownShareAtMillisByNode.keySet()) {
            heard -= heardAtMillisByNode.containsKey(node) ? 1 : 0;
        }
        return new QuotaSite(nodes, heard + 1);
    }
}
