package org.cactusshift.internal.transport.relay;

import org.cactusshift.internal.coordination.serving.Placement;
import org.cactusshift.internal.coordination.serving.ServingRequest;
import org.cactusshift.internal.coordination.serving.Upstream;

/**
 * The memory that one attempt takes at its engine. A separate prefill also reserves that of the engine that is to
 * decode, so that requests which are being prefilled do not exceed it together.
 */
final class HeldMemory {
    private final Upstream upstream;
    private final Placement placement;
    private final ServingRequest request;
    private final boolean isPrefill;

    HeldMemory(Upstream upstream, Placement placement, ServingRequest request, boolean isPrefill) {
        this.upstream = upstream;
        this.placement = placement;
        this.request = request;
        this.isPrefill = isPrefill;
    }

    void hold() {
        upstream.hold(request.heldTokens(isPrefill));
        if (isPrefill) {
            placement.target().hold(request.heldTokens(false));
        }
    }

    void release() {
        upstream.release(request.heldTokens(isPrefill));
        if (isPrefill) {
            placement.target().release(request.heldTokens(false));
        }
    }
}
