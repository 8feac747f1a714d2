package org.cactusshift.internal.coordination.claim;

import java.util.Optional;

/**
 * The response of the holder of a claim shard to a claim or a claim resolution.
 *
 * @param kind the kind of response
 * @param outcome the recorded outcome, for a repeated call
 */
record HolderResponse(Kind kind, Optional<CallOutcome> outcome) {
    /** The kind of a response. */
    enum Kind {
        /** The claim is durable, or the resolution is durable or was not needed. */
        GRANTED,
        /** The call was made and its outcome, which may be unknown, is recorded. */
        REPEATED,
        /** The call was claimed before and its outcome is not known. */
        OPEN,
        /** The idempotency key was used before with a different method, path or body. */
        BODY_MISMATCH,
        /** The claim can't be made durable at present. */
        UNAVAILABLE,
        /** The node does not hold the shard, or has lost it; the same attempt may be sent to the holder. */
        NOT_OWNER
    }

    static HolderResponse of(Kind kind) {
        return new HolderResponse(kind, Optional.empty());
    }

    static HolderResponse repeated(Optional<CallOutcome> outcome) {
        return new HolderResponse(Kind.REPEATED, outcome);
    }
}
