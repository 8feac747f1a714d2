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

/** Handles the requests of other nodes. Methods may block and may be called by several threads at once. */
public interface PeerRequestHandler {
    /**
     * Handles a heartbeat.
     *
     * @param request the peer's state
     * @return this node's state
     */
    HeartbeatResponse heartbeat(HeartbeatRequest request);

    /**
     * Returns the installed configuration if it is newer than the peer's.
     *
     * @param request the version that the peer has
     * @return the configuration parts, or none if there is no newer version
     */
    FetchConfigResponse fetchConfig(FetchConfigRequest request);

    /**
     * Registers a peer as a watcher of configuration versions.
     *
     * @param request identifies the peer
     * @param sink receives each version; may throw if the peer has disconnected
     * @return an action that ends the registration
     */
    Runnable watchConfig(WatchConfigRequest request, Consumer<ConfigVersion> sink);

    /**
     * Grants or refuses claims on non-repeatable requests, as the owner of their claim shard.
     *
     * @param request the claims
     * @return the result of each claim, in the order of the request
     */
    ClaimResponse claim(ClaimRequest request);

    /**
     * Records outcomes of claimed requests as the owner of their claim shard.
     *
     * @param request the outcomes
     * @return the number of outcomes recorded
     */
    RecordOutcomeResponse recordOutcome(RecordOutcomeRequest request);

    /**
     * Receives usage counts as the holder of their usage shard.
     *
     * @param batch the counts
     * @return whether this node included the counts, and up to which sequence number those of the sender are durable
     */
    UsageAck handOverUsage(UsageBatch batch);

    /**
     * Takes part in the drain of an upstream, or ends it: stops sending new requests to the upstream and reports its
     * requests in flight.
     *
     * @param request the upstream
     * @return the progress of the drain at this node
     */
    DrainStatus acknowledgeDrain(DrainRequest request);
}
