package org.cactusshift.node.internal;

import java.util.List;
import java.util.Optional;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.SiteId;

/**
 * The status of a node, served to operators as JSON at {@code /status}.
 *
 * @param instance the instance
 * @param incarnation the incarnation of the node
 * @param site the site
 * @param ready whether the node accepts requests
 * @param notReadyReason the reason why the node is not ready, empty if it is ready
 * @param configVersion the version of the active configuration; 0 if there is none
 * @param keyView the state of the node's view of the API keys: FRESH, STORE_AWAY (the key-value store is unavailable
 *     for all nodes, so that no key can be revoked; keys are accepted) or CUT_OFF (the view may be outdated; no key is
 *     accepted)
 * @param storeContactAgeMillis the age of the last contact with the key-value store; negative if there was none
 * @param openRequests the requests that are queued or running at this node
 * @param duties the duties that the node holds
 * @param members the peers
 */
public record NodeStatus(
        InstanceId instance,
        IncarnationId incarnation,
        SiteId site,
        boolean ready,
        Optional<String> notReadyReason,
        long configVersion,
        String keyView,
        long storeContactAgeMillis,
        int openRequests,
        List<String> duties,
        List<MemberStatus> members) {
    /**
     * A peer.
     *
     * @param instance the instance of the peer
     * @param failureDomain the failure domain of the peer
     * @param state the membership state: LIVE, SUSPECT or LEAVING
     */
    public record MemberStatus(InstanceId instance, String failureDomain, String state) {}
}
