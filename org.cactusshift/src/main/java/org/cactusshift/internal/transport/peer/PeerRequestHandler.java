package org.cactusshift.internal.transport.peer;

import java.util.function.Consumer;
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

/** What a node answers to other nodes. Methods may block and may be called by several threads at once. */
public interface PeerRequestHandler {
    /**
     * Takes a heartbeat.
     *
     * @param request the peer's state
     * @return this node's state
     */
    HeartbeatResponse heartbeat(HeartbeatRequest request);

    /**
     * Returns the installed configuration when it is newer than the peer's.
     *
     * @param request the version that the peer has
     * @return the parts, or no parts when there is nothing newer
     */
    FetchConfigResponse fetchConfig(FetchConfigRequest request);

    /**
     * Registers a peer for versions of the configuration.
     *
     * @param request who asks
     * @param sink receives each version; may throw when the peer is gone
     * @return ends the registration
     */
    Runnable watchConfig(WatchConfigRequest request, Consumer<ConfigVersion> sink);

    /**
     * Claims calls as the owner of their shard.
     *
     * @param request the claims
     * @return a result for each claim, in order
     */
    ClaimResponse claim(ClaimRequest request);

    /**
     * Records outcomes of claimed calls as the owner of their shard.
     *
     * @param request the outcomes
     * @return how many were recorded
     */
    RecordOutcomeResponse recordOutcome(RecordOutcomeRequest request);

    /**
     * Takes usage counts as the holder of their shard.
     *
     * @param batch the counts
     * @return whether they are durable here
     */
    UsageAck handOverUsage(UsageBatch batch);

    /**
     * Stops new work on an upstream and tells what is in flight on it.
     *
     * @param request the upstream
     * @return the state of the drain at this node
     */
    DrainStatus acknowledgeDrain(DrainRequest request);
}
