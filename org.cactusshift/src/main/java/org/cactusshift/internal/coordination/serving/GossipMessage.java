package org.cactusshift.internal.coordination.serving;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.UpstreamId;

/**
 * What a node tells the others several times a second. All of it is a present state, so that a lost or repeated
 * message does no harm.
 *
 * @param node the node
 * @param incarnation its start
 * @param epochMillis its time of day
 * @param workByUpstream its open work by upstream
 * @param usage running totals by start of a node, usage window and client account, of this node and of nodes that it
 *     no longer hears; only told to those who collect them
 * @param collector the collector of usage counts, empty when none is known
 * @param crashes crashes that it saw, by fingerprint of the request
 * @param promptPartUses long prompt parts that it used lately
 */
public record GossipMessage(
        InstanceId node,
        IncarnationId incarnation,
        long epochMillis,
        Map<UpstreamId, RemoteWork> workByUpstream,
        Map<IncarnationId, Map<Long, Map<AccountId, Long>>> usage,
        Optional<UsageCollector> collector,
        Map<Long, Integer> crashes,
        List<PromptPartUse> promptPartUses) {
    /** Copies the maps. */
    public GossipMessage {
        workByUpstream = Map.copyOf(workByUpstream);
        usage = Map.copyOf(usage);
        crashes = Map.copyOf(crashes);
        promptPartUses = List.copyOf(promptPartUses);
    }
}
