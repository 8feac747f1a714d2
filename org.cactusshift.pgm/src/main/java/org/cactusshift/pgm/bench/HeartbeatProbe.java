package org.cactusshift.pgm.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.cactusshift.config.NodeSettings;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.RequestId;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision;
import org.cactusshift.internal.coordination.dispatch.DispatchRequest;
import org.cactusshift.internal.coordination.dispatch.DispatchService;
import org.cactusshift.internal.coordination.dispatch.DispatchTicket;
import org.cactusshift.internal.coordination.membership.MembershipTable;
import org.cactusshift.internal.state.summary.AccountServicePair;
import org.cactusshift.internal.state.summary.PeerTotalsTracker;
import org.cactusshift.internal.state.summary.ServedTotals;
import org.cactusshift.messages.HeartbeatRequest;
import org.cactusshift.messages.Sender;
import org.cactusshift.node.internal.HeartbeatExchange;
import org.cactusshift.node.internal.NodeDefaults;
import org.cactusshift.node.internal.NodeIdentity;

/** Measures composing and handling heartbeats, and the memory of the running totals that peers report. */
final class HeartbeatProbe implements Probe {
    /** The senders to a node of a planned site, at distances 1, 2, 4, ... before it on its failure domain's ring. */
    private static final int SENDERS = 7;

    /**
     * The heartbeats composed in a batch: as many as a {@link HeartbeatExchange} composes from one with all totals to
     * the next, so that each batch has exactly one with all totals.
     */
    private static final int COMPOSE_REPEATS = 20;

    private static final int HANDLE_REPEATS = 8;
    private static final int SELF = 0;
    private static final int ENGINES = 256;
    private static final String ENGINE_ADDRESS = "10.0.0.1:8000";
    private static final long DEADLINE_MILLIS = 5_000;
    private static final AttemptEnd COMPLETED = new AttemptEnd(AttemptEnd.Outcome.COMPLETED, 400, 50);

    @Override
    public List<ScalingMeasurement> measure(Scale scale) {
        List<Sample> heartbeatBytes = new ArrayList<>();
        List<Sample> composeCpu = new ArrayList<>();
        List<Sample> handleCpu = new ArrayList<>();
        for (int accounts : scale.sizes(770, 3_850, 7_700)) {
            measure(accounts, heartbeatBytes, composeCpu, handleCpu);
        }
        List<Sample> peerTotalsBytes = new ArrayList<>();
        for (int accounts : scale.sizes(770, 3_850, 7_700)) {
            peerTotalsBytes.add(new Sample(accounts, Meter.retainedBytes(() -> peerTotals(accounts))));
        }
        return List.of(
                measurement("heartbeat, bytes", "account that changed", heartbeatBytes),
                measurement("CPU us of composing a beat", "account with usage", composeCpu),
                measurement("CPU us of taking a heartbeat", "account that changed", handleCpu),
                measurement("totals of " + SENDERS + " senders, bytes", "account with usage", peerTotalsBytes));
    }

    private static ScalingMeasurement measurement(String measure, String per, List<Sample> samples) {
        return new ScalingMeasurement(
                NodeRole.PEER_MESH, measure, per, SiteSizes.ACCOUNTS_TODAY, SiteSizes.ACCOUNTS_PLANNED, samples);
    }

    private static void measure(
            int accounts, List<Sample> heartbeatBytes, List<Sample> composeCpu, List<Sample> handleCpu) {
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
        try (DispatchService sending = dispatch(scheduler, accounts);
                DispatchService receiving = dispatch(scheduler, accounts)) {
            serveAll(sending, accounts);
            HeartbeatExchange sender = exchange(sending, SELF);
            HeartbeatRequest fullHeartbeat = sender.nextRequest();
            heartbeatBytes.add(new Sample(accounts, fullHeartbeat.getSerializedSize()));
            composeCpu.add(new Sample(accounts, Meter.cpuMicros(COMPOSE_REPEATS, sender::nextRequest)));
            HeartbeatExchange receiver = exchange(receiving, SENDERS + 1);
            for (int peer = 1; peer < SENDERS; peer++) {
                receiver.onRequest(withSender(peer, fullHeartbeat));
            }
            handleCpu.add(
                    new Sample(accounts, Meter.cpuMicros(HANDLE_REPEATS, () -> receiver.onRequest(fullHeartbeat))));
        } finally {
            scheduler.shutdownNow();
        }
    }

    private static DispatchService dispatch(ScheduledExecutorService scheduler, int accounts) {
        DispatchService dispatch = LoadPollProbe.dispatch(scheduler);
        dispatch.install(new VersionedConfig(1, BenchSite.config(accounts, ENGINES, ENGINE_ADDRESS)));
        return dispatch;
    }

    /** Serves one request of every account, so that every account has totals; each request finds an idle engine. */
    private static void serveAll(DispatchService dispatch, int accounts) {
        for (int account = 0; account < accounts; account++) {
            UpstreamConfig engine = BenchSite.engine(account % ENGINES, ENGINE_ADDRESS);
            dispatch.onLoad(BenchSite.MODEL, engine.id(), BenchSite.load(BenchSite.MONOTONIC_MILLIS.getAsLong(), 0));
            try (DispatchTicket ticket = dispatch.submit(request(account)).orElseThrow()) {
                ticket.await(0)
                        .filter(DispatchDecision.Dispatch.class::isInstance)
                        .map(DispatchDecision.Dispatch.class::cast)
                        .ifPresent(decision -> ticket.onAttemptEnd(decision.attempt(), COMPLETED));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted while measuring", e);
            }
        }
    }

    private static DispatchRequest request(int account) {
        return new DispatchRequest(
                RequestId.fromString("request-" + account),
                BenchSite.accountId(account),
                BenchSite.MODEL,
                400,
                50,
                List.of(),
                BenchSite.MONOTONIC_MILLIS.getAsLong() + DEADLINE_MILLIS,
                true,
                account);
    }

    private static HeartbeatRequest withSender(int peer, HeartbeatRequest request) {
        Sender sender = request.getSender().toBuilder()
                .setInstanceId(BenchSite.instance(peer).value())
                .setIncarnationId(BenchSite.incarnation(peer).value())
                .setPeerAddress(BenchSite.peerAddress(peer))
                .build();
        return request.toBuilder().setSender(sender).build();
    }

    private static HeartbeatExchange exchange(DispatchService dispatch, int node) {
        NodeSettings settings = new NodeSettings(
                BenchSite.instance(node),
                BenchSite.SITE,
                BenchSite.failureDomain(0),
                // The listen addresses for callers, operators and peers.
                BenchSite.peerAddress(node),
                BenchSite.peerAddress(node),
                BenchSite.peerAddress(node),
                // Without initial peers and platform services, as nothing is sent.
                List.of(),
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                "",
                Optional.empty());
        return new HeartbeatExchange(
                new NodeIdentity(settings, BenchSite.incarnation(node), BenchSite.peerAddress(node)),
                MembershipTable.create(BenchSite.instance(node), NodeDefaults.TIMING.suspicionMillis()),
                KeyProbe.freshness(),
                ConfigProbe.unstartedDistributor(),
                dispatch,
                BenchSite.MONOTONIC_MILLIS);
    }

    private static PeerTotalsTracker peerTotals(int accounts) {
        PeerTotalsTracker totals = PeerTotalsTracker.create();
        for (int peer = 0; peer < SENDERS; peer++) {
            for (int account = 0; account < accounts; account++) {
                totals.recordTotals(
                        BenchSite.incarnation(peer),
                        new AccountServicePair(BenchSite.MODEL, BenchSite.accountId(account)),
                        new ServedTotals(400L * account, 50, 1));
            }
        }
        return totals;
    }
}
