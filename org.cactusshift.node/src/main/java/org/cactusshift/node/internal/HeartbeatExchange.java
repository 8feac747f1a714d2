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
import org.cactusshift.internal.coordination.configsync.ConfigDistributor;
import org.cactusshift.internal.coordination.dispatch.DispatchService;
import org.cactusshift.internal.coordination.key.KeyFreshness;
import org.cactusshift.internal.coordination.key.StoreContact;
import org.cactusshift.internal.coordination.membership.Member;
import org.cactusshift.internal.coordination.membership.MembershipTable;
import org.cactusshift.internal.coordination.membership.PeerHeartbeat;
import org.cactusshift.internal.state.summary.AccountServicePair;
import org.cactusshift.internal.state.summary.HeartbeatTotalsSelector;
import org.cactusshift.internal.state.summary.PeerTotalsTracker;
import org.cactusshift.internal.state.summary.ServedTotals;
import org.cactusshift.messages.AccountService;
import org.cactusshift.messages.HeartbeatRequest;
import org.cactusshift.messages.HeartbeatResponse;
import org.cactusshift.messages.Sender;
import org.cactusshift.messages.StoreAbsence;
import org.cactusshift.messages.SuspectFingerprint;

/** Composes heartbeats and applies the heartbeats and responses of peers. Thread-safe. */
public final class HeartbeatExchange {
    private static final int HEARTBEATS_PER_FULL_TOTALS = 20;

    private final NodeIdentity self;
    private final MembershipTable membership;
    private final KeyFreshness freshness;
    private final ConfigDistributor config;
    private final DispatchService dispatch;
    private final LongSupplier clockMillis;
    private final HeartbeatTotalsSelector totalsSelector = HeartbeatTotalsSelector.create(HEARTBEATS_PER_FULL_TOTALS);
    private final PeerTotalsTracker remoteTotals = PeerTotalsTracker.create();
    private final RemoteSuspectTracker remoteSuspects = RemoteSuspectTracker.create();
    private final Map<InstanceId, IncarnationId> incarnationByInstance = new HashMap<>();
    private long sequence;
    private volatile boolean leaving;

    /**
     * Creates an exchange that has sent and received nothing.
     *
     * @param self this node
     * @param membership is updated with the peers that a message was received from
     * @param freshness is updated with the contact of peers with the key-value service
     * @param config supplies the installed version and is notified of the versions of peers
     * @param dispatch supplies the served tokens of this node and is updated with those of peers
     * @param clockMillis the monotonic clock
     */
    public HeartbeatExchange(
            NodeIdentity self,
            MembershipTable membership,
            KeyFreshness freshness,
            ConfigDistributor config,
            DispatchService dispatch,
            LongSupplier clockMillis) {
        this.self = self;
        this.membership = membership;
        this.freshness = freshness;
        this.config = config;
        this.dispatch = dispatch;
        this.clockMillis = clockMillis;
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
        KeyFreshness.Report report = freshness.report(clockMillis.getAsLong());
        HeartbeatRequest.Builder request = HeartbeatRequest.newBuilder()
                .setSender(self.sender())
                .setSequence(sequence)
                .setConfigVersion(report.configVersion())
                .setStoreContactAgeMillis(report.contactAgeMillis())
                .setLeaving(leaving);
        totalsSelector
                .selectForNextHeartbeat(dispatch.accountTotals())
                .forEach((key, totals) -> request.addAccounts(toMessage(key, totals)));
        dispatch.suspects()
                .forEach(suspect -> request.addSuspects(SuspectFingerprint.newBuilder()
                        .setFingerprint(suspect.fingerprint())
                        .setCrashes(suspect.crashes())
                        .setAgeMillis(suspect.ageMillis())));
        return request.build();
    }

    /**
     * Handles a heartbeat of a peer.
     *
     * @param request the heartbeat
     * @return the response
     */
    public HeartbeatResponse onRequest(HeartbeatRequest request) {
        long nowMillis = clockMillis.getAsLong();
        Sender sender = request.getSender();
        if (membership.onHeartbeat(toPeerHeartbeat(sender, request.getLeaving()), nowMillis)) {
            IncarnationId incarnation = IncarnationId.fromString(sender.getIncarnationId());
            recordIncarnation(InstanceId.fromString(sender.getInstanceId()), incarnation);
            config.onPeerVersion(sender.getPeerAddress(), request.getConfigVersion());
            applyTotals(incarnation, request.getAccountsList());
            remoteSuspects.recordReport(incarnation, request.getSuspectsList()).forEach(dispatch::onRemoteSuspect);
        }
        KeyFreshness.Report report = freshness.report(nowMillis);
        return HeartbeatResponse.newBuilder()
                .setSender(self.sender())
                .setSequence(request.getSequence())
                .setConfigVersion(report.configVersion())
                .setStoreContactAgeMillis(report.contactAgeMillis())
                .addAllAbsences(recentAbsences(nowMillis))
                .setLeaving(leaving)
                .build();
    }

    void onResponse(HeartbeatResponse response, long sentAtMillis) {
        Sender sender = response.getSender();
        if (!membership.onHeartbeat(toPeerHeartbeat(sender, response.getLeaving()), clockMillis.getAsLong())) {
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

    private List<StoreAbsence> recentAbsences(long nowMillis) {
        List<StoreAbsence> absences = new ArrayList<>();
        freshness
                .evidence(nowMillis)
                .forEach((domain, millis) -> absences.add(StoreAbsence.newBuilder()
                        .setFailureDomain(domain.value())
                        .setAgeMillis(nowMillis - millis)
                        .build()));
        return absences;
    }

    /** Applies the current membership to key freshness, duties and dispatch, and returns the members. */
    List<Member> refreshMembers(DeferredCoordination coordination) {
        List<Member> members = membership.members(clockMillis.getAsLong());
        freshness.onMembers(members.stream().collect(Collectors.toMap(Member::id, Member::failureDomain)));
        Set<InstanceId> liveNodes = new HashSet<>();
        members.stream()
                .filter(HeartbeatExchange::mayHoldDuties)
                .map(Member::id)
                .forEach(liveNodes::add);
        if (!leaving) {
            liveNodes.add(self.settings().instanceId());
        }
        coordination.setMembers(liveNodes);
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

    private static boolean mayHoldDuties(Member member) {
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
        remoteSuspects.removeSender(incarnation);
        remoteTotals
                .removePeer(incarnation)
                .forEach((key, inFlight) -> dispatch.onRemoteTotals(key.service(), key.account(), 0, 0, inFlight));
    }

    private void applyTotals(IncarnationId incarnation, List<AccountService> accounts) {
        for (AccountService account : accounts) {
            AccountServicePair key = new AccountServicePair(
                    ServiceId.fromString(account.getServiceId()), AccountId.fromString(account.getAccountId()));
            ServedTotals totals =
                    new ServedTotals(account.getPrefillTokens(), account.getDecodeTokens(), account.getInFlight());
            ServedTotals increment = remoteTotals.recordTotals(incarnation, key, totals);
            dispatch.onRemoteTotals(
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
