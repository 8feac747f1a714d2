package org.cactusshift.node.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.configsync.ConfigDistributor;
import org.cactusshift.internal.coordination.dispatch.DispatchService;
import org.cactusshift.internal.coordination.key.KeyFreshness;
import org.cactusshift.internal.coordination.key.StoreContact;
import org.cactusshift.internal.coordination.membership.Member;
import org.cactusshift.internal.coordination.membership.MembershipTable;
import org.cactusshift.internal.coordination.membership.PeerHeartbeat;
import org.cactusshift.internal.coordination.quarantine.CompletionReport;
import org.cactusshift.internal.coordination.quarantine.CrashReport;
import org.cactusshift.internal.coordination.quarantine.CrashReports;
import org.cactusshift.internal.coordination.quarantine.CrashSuspect;
import org.cactusshift.internal.state.summary.AccountServicePair;
import org.cactusshift.internal.state.summary.HeartbeatTotalsSelector;
import org.cactusshift.internal.state.summary.PeerTotalsTracker;
import org.cactusshift.internal.state.summary.ServedTotals;
import org.cactusshift.messages.AccountService;
import org.cactusshift.messages.HeartbeatRequest;
import org.cactusshift.messages.HeartbeatResponse;
import org.cactusshift.messages.PartCompletion;
import org.cactusshift.messages.PartCrash;
import org.cactusshift.messages.Sender;
import org.cactusshift.messages.StoreAbsence;
import org.cactusshift.messages.SuspectFingerprint;

/** Composes heartbeats and applies the heartbeats and responses of peers. Thread-safe. */
public final class HeartbeatExchange {
    /** Every 20th heartbeat carries the totals of all accounts, so that a peer that missed a heartbeat catches up. */
    private static final int HEARTBEATS_PER_FULL_TOTALS = 20;

    private final NodeIdentity self;
    private final MembershipTable membership;
    private final KeyFreshness freshness;
    private final ConfigDistributor config;
    private final DispatchService dispatch;
    private final LongSupplier monotonicMillis;
    private final HeartbeatTotalsSelector totalsSelector = HeartbeatTotalsSelector.create(HEARTBEATS_PER_FULL_TOTALS);
    private final PeerTotalsTracker remoteTotals = PeerTotalsTracker.create();
    private final RemoteCrashSuspectTracker remoteCrashSuspects = RemoteCrashSuspectTracker.create();
    private final Map<InstanceId, IncarnationId> incarnationByInstance = new HashMap<>();
    private long sequence;
    private volatile boolean leaving;

    /**
     * Creates an exchange that has sent and received nothing.
     *
     * @param self this node
     * @param membership is updated with the peers that a message was received from
     * @param freshness is updated with the contact of peers with the key-value store
     * @param config is notified of the configuration versions of peers
     * @param dispatch supplies the served tokens of this node and is updated with those of peers
     * @param monotonicMillis the monotonic clock
     */
    public HeartbeatExchange(
            NodeIdentity self,
            MembershipTable membership,
            KeyFreshness freshness,
            ConfigDistributor config,
            DispatchService dispatch,
            LongSupplier monotonicMillis) {
        this.self = self;
        this.membership = membership;
        this.freshness = freshness;
        this.config = config;
        this.dispatch = dispatch;
        this.monotonicMillis = monotonicMillis;
    }

    void setLeaving() {
        leaving = true;
    }

    /**
     * Composes the next heartbeat.
     *
     * @return the request, the same for all receivers of this period
     */
    public synchronized HeartbeatRequest nextRequest() {
        sequence++;
        KeyFreshness.Report report = freshness.report(monotonicMillis.getAsLong());
        HeartbeatRequest.Builder request = HeartbeatRequest.newBuilder()
                .setSender(self.sender())
                .setSequence(sequence)
                .setConfigVersion(report.configVersion())
                .setStoreContactAgeMillis(report.contactAgeMillis())
                .setLeaving(leaving);
        totalsSelector
                .selectForNextHeartbeat(dispatch.accountTotals())
                .forEach((key, totals) -> request.addAccounts(toMessage(key, totals)));
        dispatch.crashSuspects()
                .forEach(suspect -> request.addSuspects(SuspectFingerprint.newBuilder()
                        .setFingerprint(suspect.fingerprint())
                        .setCrashes(suspect.crashes())
                        .setAgeMillis(suspect.ageMillis())));
        CrashReports partReports = dispatch.partReports();
        partReports
                .crashes()
                .forEach(crash -> request.addPartCrashes(PartCrash.newBuilder()
                        .setPart(crash.suspect().value())
                        .setFirst(isFirst(crash.suspect()))
                        .setUpstreamId(crash.upstream().value())
                        .setSentAgeMillis(crash.sentAgeMillis())
                        .setLostAgeMillis(crash.lostAgeMillis())));
        partReports
                .completions()
                .forEach(completion -> request.addPartCompletions(PartCompletion.newBuilder()
                        .setPart(completion.suspect().value())
                        .setFirst(isFirst(completion.suspect()))
                        .setSentAgeMillis(completion.sentAgeMillis())));
        return request.build();
    }

    private static boolean isFirst(CrashSuspect part) {
        return part.kind() == CrashSuspect.Kind.FIRST_PROMPT_PART;
    }

    private static CrashSuspect part(long id, boolean first) {
        return new CrashSuspect(first ? CrashSuspect.Kind.FIRST_PROMPT_PART : CrashSuspect.Kind.PROMPT_PART, id);
    }

    private static CrashReports partReports(HeartbeatRequest request) {
        return new CrashReports(
                request.getPartCrashesList().stream()
                        .map(crash -> new CrashReport(
                                part(crash.getPart(), crash.getFirst()),
                                UpstreamId.fromString(crash.getUpstreamId()),
                                crash.getSentAgeMillis(),
                                crash.getLostAgeMillis()))
                        .toList(),
                request.getPartCompletionsList().stream()
                        .map(completion -> new CompletionReport(
                                part(completion.getPart(), completion.getFirst()), completion.getSentAgeMillis()))
                        .toList());
    }

    /**
     * Handles a heartbeat of a peer.
     *
     * @param request the heartbeat
     * @return the response
     */
    public HeartbeatResponse onRequest(HeartbeatRequest request) {
        long nowMillis = monotonicMillis.getAsLong();
        Sender sender = request.getSender();
        if (membership.onHeartbeat(toPeerHeartbeat(sender, request.getLeaving()), nowMillis)) {
            IncarnationId incarnation = IncarnationId.fromString(sender.getIncarnationId());
            recordIncarnation(InstanceId.fromString(sender.getInstanceId()), incarnation);
            config.onPeerVersion(sender.getPeerAddress(), request.getConfigVersion());
            applyTotals(incarnation, request.getAccountsList());
            remoteCrashSuspects
                    .recordReport(incarnation, request.getSuspectsList())
                    .forEach(dispatch::onRemoteCrashSuspect);
            dispatch.onRemotePartReports(partReports(request));
        }
        KeyFreshness.Report report = freshness.report(nowMillis);
        return HeartbeatResponse.newBuilder()
                .setSender(self.sender())
                .setSequence(request.getSequence())
                .setConfigVersion(report.configVersion())
                .setStoreContactAgeMillis(report.contactAgeMillis())
                .addAllAbsences(storeUnavailabilityEvidence(nowMillis))
                .setLeaving(leaving)
                .build();
    }

    /**
     * Applies the response of a peer. Ages in it are counted back from the time when the heartbeat was sent, so that
     * they are never underestimated.
     *
     * @param response the response
     * @param sentAtMillis when the heartbeat was sent, monotonic
     */
    void onResponse(HeartbeatResponse response, long sentAtMillis) {
        Sender sender = response.getSender();
        if (!membership.onHeartbeat(toPeerHeartbeat(sender, response.getLeaving()), monotonicMillis.getAsLong())) {
            return;
        }
        config.onPeerVersion(sender.getPeerAddress(), response.getConfigVersion());
        freshness.onPeerContact(StoreContact.of(
                InstanceId.fromString(sender.getInstanceId()),
                FailureDomainId.fromString(sender.getFailureDomain()),
                sentAtMillis,
                response.getStoreContactAgeMillis(),
                response.getConfigVersion()));
        for (StoreAbsence absence : response.getAbsencesList()) {
            freshness.onRelayedEvidence(
                    FailureDomainId.fromString(absence.getFailureDomain()), sentAtMillis - absence.getAgeMillis());
        }
    }

    /** Returns the evidence that the store is unavailable to failure domains, each with its age. */
    private List<StoreAbsence> storeUnavailabilityEvidence(long nowMillis) {
        List<StoreAbsence> evidence = new ArrayList<>();
        freshness
                .evidence(nowMillis)
                .forEach((domain, millis) -> evidence.add(StoreAbsence.newBuilder()
                        .setFailureDomain(domain.value())
                        .setAgeMillis(nowMillis - millis)
                        .build()));
        return evidence;
    }

    /** Applies the current membership to key freshness, duties and dispatch, and returns the members. */
    List<Member> refreshMembers(DeferredCoordination coordination) {
        List<Member> members = membership.members(monotonicMillis.getAsLong());
        freshness.onMembers(members.stream().collect(Collectors.toMap(Member::id, Member::failureDomain)));
        Set<InstanceId> liveNodes = new HashSet<>();
        members.stream()
                .filter(HeartbeatExchange::isDutyCandidate)
                .map(Member::id)
                .forEach(liveNodes::add);
        if (!leaving) {
            liveNodes.add(self.settings().instanceId());
        }
        coordination.setLiveNodes(liveNodes);
        updatePosition(liveNodes);
        removeGonePeers(members);
        return members;
    }

    private void updatePosition(Set<InstanceId> liveNodes) {
        InstanceId own = self.settings().instanceId();
        if (liveNodes.contains(own)) {
            int index =
                    (int) liveNodes.stream().filter(id -> id.compareTo(own) < 0).count();
            dispatch.onLiveNodes(index, liveNodes.size());
        }
    }

    /** Returns whether a peer may hold duties; suspect and leaving peers may not. */
    private static boolean isDutyCandidate(Member member) {
        return member.state() == Member.State.LIVE;
    }

    private synchronized void recordIncarnation(InstanceId instance, IncarnationId incarnation) {
        IncarnationId previous = incarnationByInstance.put(instance, incarnation);
        if (previous != null && !previous.equals(incarnation)) {
            removePeer(previous);
        }
    }

    private synchronized void removeGonePeers(List<Member> members) {
        Set<InstanceId> present = members.stream().map(Member::id).collect(Collectors.toSet());
        List<InstanceId> gone = new ArrayList<>(incarnationByInstance.keySet());
        gone.removeAll(present);
        gone.forEach(instance -> removePeer(incarnationByInstance.remove(instance)));
    }

    private void removePeer(IncarnationId incarnation) {
        remoteCrashSuspects.removeSender(incarnation);
        // No further tokens; only the number of requests in flight changes.
        remoteTotals
                .removePeer(incarnation)
                .forEach(
                        (key, inFlight) -> dispatch.onRemoteServedTokens(key.service(), key.account(), 0, 0, inFlight));
    }

    private void applyTotals(IncarnationId incarnation, List<AccountService> accounts) {
        for (AccountService account : accounts) {
            AccountServicePair key = new AccountServicePair(
                    ServiceId.fromString(account.getServiceId()), AccountId.fromString(account.getAccountId()));
            ServedTotals totals =
                    new ServedTotals(account.getPrefillTokens(), account.getDecodeTokens(), account.getInFlight());
            ServedTotals increment = remoteTotals.recordTotals(incarnation, key, totals);
            dispatch.onRemoteServedTokens(
                    key.service(),
                    key.account(),
                    increment.prefillTokens(),
                    increment.decodeTokens(),
                    increment.requestsInFlight());
        }
    }

    private static AccountService toMessage(AccountServicePair key, ServedTotals totals) {
        return AccountService.newBuilder()
                .setServiceId(key.service().value())
                .setAccountId(key.account().value())
                .setPrefillTokens(totals.prefillTokens())
                .setDecodeTokens(totals.decodeTokens())
                .setInFlight(totals.requestsInFlight())
                .build();
    }

    private static PeerHeartbeat toPeerHeartbeat(Sender sender, boolean leaving) {
        return new PeerHeartbeat(
                InstanceId.fromString(sender.getInstanceId()),
                IncarnationId.fromString(sender.getIncarnationId()),
                FailureDomainId.fromString(sender.getFailureDomain()),
                sender.getPeerAddress(),
                leaving);
    }
}
