package org.cactusshift.node.internal;

import java.util.List;
import java.util.Optional;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.SiteId;

/**
 * The status of a node as its operator page shows it.
 *
 * @param instance the instance
 * @param incarnation this start of the instance
 * @param site the site
 * @param ready whether the node takes requests
 * @param notReadyReason why not
 * @param configVersion the installed configuration; 0 when there is none
 * @param keyView whether keys may be honoured: FRESH, STORE_AWAY or CUT_OFF
 * @param storeContactAgeMillis the age of the last contact with the key-value service; negative when there was none
 * @param openRequests requests queued or running here
 * @param duties the duties held
 * @param members the other nodes
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
     * Another node.
     *
     * @param instance the instance
     * @param failureDomain its failure domain
     * @param state LIVE, SUSPECT or LEAVING
     */
    public record MemberStatus(InstanceId instance, String failureDomain, String state) {}
}
