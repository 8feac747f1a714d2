package org.cactusshift.internal.coordination.serving;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.UpstreamLimitReport;
import org.cactusshift.internal.coordination.performance.PerformanceReport;
import org.cactusshift.internal.coordination.quarantine.CompletionReport;
import org.cactusshift.internal.coordination.quarantine.CrashReport;

/**
 * The message that a node sends to its peers several times a second. It carries current state, not changes, so that a
 * lost or duplicated message does no harm.
 *
 * @param node the sending node
 * @param incarnation the incarnation of the sending node
 * @param epochMillis the wall-clock time of the sending node
 * @param workByUpstream the open requests of the sending node, by upstream
 * @param usage running totals by incarnation, usage window and client account, of the sending node and of nodes that it
 *     no longer receives messages from; sent only to the collector and its backup nodes, empty in other messages
 * @param collector the node that collects usage counts, empty when none is known
 * @param crashes the crashes of upstreams that the sending node knows of
 * @param completions the recent completed attempts that clear suspects of crashes
 * @param limits the request limits of upstreams: recent changes and some others in turn
 * @param promptPartUses the recent uses of long prompt parts by requests of the sending node
 * @param unreachableServices the services of which the sending node reaches no upstream
 * @param performance how long work took at upstreams since the last message to the same peer; unlike the rest, it is
 *     not sent again, so that a lost message loses it
 */
public record GossipMessage(
        InstanceId node,
        IncarnationId incarnation,
        long epochMillis,
        Map<UpstreamId, OpenWork> workByUpstream,
        Map<IncarnationId, Map<Long, Map<AccountId, Long>>> usage,
        Optional<UsageCollector> collector,
        List<CrashReport> crashes,
        List<CompletionReport> completions,
        List<UpstreamLimitReport> limits,
        List<PromptPartUse> promptPartUses,
        Set<ServiceId> unreachableServices,
        List<PerformanceReport> performance) {
    /** Makes shallow copies of the collections. */
    public GossipMessage {
        workByUpstream = Map.copyOf(workByUpstream);
        usage = Map.copyOf(usage);
        crashes = List.copyOf(crashes);
        completions = List.copyOf(completions);
        limits = List.copyOf(limits);
        promptPartUses = List.copyOf(promptPartUses);
        unreachableServices = Set.copyOf(unreachableServices);
        performance = List.copyOf(performance);
    }
}
