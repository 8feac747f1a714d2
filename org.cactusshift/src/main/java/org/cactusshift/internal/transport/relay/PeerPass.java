package org.cactusshift.internal.transport.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.serving.PeerEndpoint;
import org.cactusshift.internal.coordination.serving.ServingRequest;

/** Passes one request to peers, one after the other, until one takes it. */
final class PeerPass {
    /** Maximum number of peers that are asked to serve a request. */
    private static final int MAXIMUM_ASKED_PEERS = 3;

    /** Number of upstreams that could not be reached after which a peer is asked. */
    private static final int MINIMUM_UNREACHED_UPSTREAMS = 2;

    private final RelayedRequest relayedRequest;
    private final RequestOrigin origin;
    private final Set<InstanceId> askedPeers = new HashSet<>();

    private int unreachedUpstreams;

    /** The open attempt; null while there is none. */
    private PeerAttempt attempt;

    PeerPass(RelayedRequest relayedRequest, RequestOrigin origin) {
        this.relayedRequest = relayedRequest;
        this.origin = origin;
    }

    /** Records that no connection to an upstream could be opened. */
    void onUpstreamNotReached() {
        unreachedUpstreams++;
    }

    /** Returns whether the request is better passed on than sent to an upstream. */
    boolean isDue(boolean serviceUnreachable) {
        return !origin.isPeer() && (serviceUnreachable || unreachedUpstreams >= MINIMUM_UNREACHED_UPSTREAMS);
    }

    /**
     * Returns whether the request, for which no upstream is left to try, is better passed on than refused: an upstream
     * that was not reached may be reached by a peer.
     */
    boolean isDueWithoutUpstream() {
        return !origin.isPeer() && unreachedUpstreams > 0;
    }

    /**
     * Passes the request to a peer, if one is left; returns whether it did.
     *
     * @param deadlineMillis when the response of the peer must have ended
     * @param isRetry whether the request was sent before, so that a retry is taken from the budget
     */
    boolean start(long deadlineMillis, boolean isRetry) {
        RelayContext context = relayedRequest.context();
        ServingRequest request = relayedRequest.request();
        Optional<PeerEndpoint> peer =
                askedPeers.size() < MAXIMUM_ASKED_PEERS ? context.peers().choose(askedPeers) : Optional.empty();
        if (peer.isEmpty() || (isRetry && !RetryPermit.take(context, request))) {
            return false;
        }
        askedPeers.add(peer.get().node());
        long now = context.clock().monotonicMillis();
        PassedRequest passed = new PassedRequest(
                request.route(),
                request.service(),
                origin.account(),
                request.priority(),
                origin.configVersion(),
                now - request.arrivedAtMillis(),
                deadlineMillis - now);
        attempt = new PeerAttempt(this, relayedRequest, peer.get(), passed);
        attempt.start();
        return true;
    }

    /** Gives back what the request was charged if it was sent neither to an upstream nor to a peer. */
    void onRequestEnded(boolean isUnsent) {
        if (isUnsent && askedPeers.isEmpty()) {
            origin.quotaCharge().giveBack();
        }
    }

    void onEnded(PeerAttempt ended, PeerAttempt.Result result, String reason) {
        attempt = null;
        relayedRequest.onPassEnded(ended, result, reason);
    }

    /** Abandons the open attempt; returns whether it may have run the request. */
    boolean abandon() {
        if (attempt == null) {
            return false;
        }
        boolean mayHaveRun = attempt.mayHaveRun();
        attempt.abandon();
        attempt = null;
        return mayHaveRun;
    }
}
