package org.cactusshift.node.internal;

import java.util.function.Consumer;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.change.DrainResponse;
import org.cactusshift.internal.coordination.configsync.ConfigDistributor;
import org.cactusshift.internal.transport.peer.PeerRequestHandler;
import org.cactusshift.messages.ClaimRequest;
import org.cactusshift.messages.ClaimResponse;
import org.cactusshift.messages.ConfigVersion;
import org.cactusshift.messages.DrainRequest;
import org.cactusshift.messages.DrainStatus;
import org.cactusshift.messages.FetchConfigRequest;
import org.cactusshift.messages.FetchConfigResponse;
import org.cactusshift.messages.HeartbeatRequest;
import org.cactusshift.messages.HeartbeatResponse;
import org.cactusshift.messages.RecordOutcomeRequest;
import org.cactusshift.messages.RecordOutcomeResponse;
import org.cactusshift.messages.UsageAck;
import org.cactusshift.messages.UsageBatch;
import org.cactusshift.messages.WatchConfigRequest;

/** Handles the calls of peers. */
final class NodePeerRequestHandler implements PeerRequestHandler {
    private final HeartbeatExchange exchange;
    private final ConfigDistributor config;
    private final DeferredCoordination coordination;
    private final UpstreamDrains drains;

    NodePeerRequestHandler(
            HeartbeatExchange exchange,
            ConfigDistributor config,
            DeferredCoordination coordination,
            UpstreamDrains drains) {
        this.exchange = exchange;
        this.config = config;
        this.coordination = coordination;
        this.drains = drains;
    }

    @Override
    public HeartbeatResponse heartbeat(HeartbeatRequest request) {
        return exchange.onRequest(request);
    }

    @Override
    public FetchConfigResponse fetchConfig(FetchConfigRequest request) {
        return GrpcConfigPeerClient.toResponse(config.bundleFor(request.getHaveVersion()));
    }

    @Override
    public Runnable watchConfig(WatchConfigRequest request, Consumer<ConfigVersion> sink) {
        return config.subscribeToVersions(version ->
                sink.accept(ConfigVersion.newBuilder().setVersion(version).build()));
    }

    @Override
    public ClaimResponse claim(ClaimRequest request) {
        return coordination.claim(request);
    }

    @Override
    public RecordOutcomeResponse recordOutcome(RecordOutcomeRequest request) {
        // A resolution is an outcome, or the withdrawal of the claim when it has none.
        return coordination.applyResolutions(request);
    }

    @Override
    public UsageAck handOverUsage(UsageBatch batch) {
        return coordination.acceptBatch(batch);
    }

    @Override
    public DrainStatus acknowledgeDrain(DrainRequest request) {
        UpstreamId upstream = UpstreamId.fromString(request.getUpstreamId());
        if (request.getEnded()) {
            drains.end(upstream);
            return DrainStatus.getDefaultInstance();
        }
        DrainResponse response = drains.startOrRenew(upstream, request.getConfigVersion());
        return DrainStatus.newBuilder()
                .setAcknowledged(response.acknowledged())
                .setInFlight(response.inFlight())
                .setHeldFor(response.conflictingEngine().map(UpstreamId::value).orElse(""))
                .build();
    }
}
