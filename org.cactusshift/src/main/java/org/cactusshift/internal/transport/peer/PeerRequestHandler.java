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

/**
 * Handles the requests of other nodes. Methods may block and may be called by several threads at once.
 *
 * <p>An {@link IllegalArgumentException} rejects the request, except in {@link #watchConfig}; its message is sent to
 * the peer. After any other exception the peer does not know whether the request took effect.
 */
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
     * Grants or refuses claims on non-repeatable requests, as the holder of their claim shard.
     *
     * @param request the claims
     * @return the result of each claim, in the order of the request
     */
    ClaimResponse claim(ClaimRequest request);

    /**
     * Records outcomes of claimed requests as the holder of their claim shard.
     *
     * @param request the outcomes
     * @return the number of outcomes recorded
     */
    RecordOutcomeResponse recordOutcome(RecordOutcomeRequest request);

    /**
     * Receives usage counts as the holder of their usage shard.
     *
     * @param batch the counts
     * @return whether this node accepted the counts, the last durable sequence number of the sender's stream, or that
     *     of the counts if they are refused permanently, and the shard's holder if this node knows it
     */
    UsageAck handOverUsage(UsageBatch batch);

    /**
     * Takes part in the drain of an upstream, or ends it. While it takes part, this node sends no new requests to the
     * upstream and reports its own that are in flight there.
     *
     * @param request the upstream, the peer's configuration version, and whether the drain has ended
     * @return whether this node takes part, its requests in flight at the upstream, and the other upstream whose drain
     *     makes it decline, if any
     */
    DrainStatus acknowledgeDrain(DrainRequest request);
}
