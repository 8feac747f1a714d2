package org.cactusshift.internal.coordination.claim;

import java.util.Optional;

/**
 * What the owner of a claim shard answers to a claim.
 *
 * @param kind the answer
 * @param outcome the recorded outcome of a repeated call
 */
record OwnerResponse(Kind kind, Optional<CallOutcome> outcome) {
    /** The sort of an answer. */
    enum Kind {
        /** The claim is durable. */
        GRANTED,
        /** The call was made and its outcome is recorded. */
        REPEATED,
        /** The call was claimed before and its outcome is not known. */
        OPEN,
        /** The key was used with another body. */
        BODY_MISMATCH,
        /** The claim can't be made now. */
        UNAVAILABLE,
        /** The node does not own the shard, or has lost it; the same attempt may ask the owner. */
        NOT_OWNER
    }

    static OwnerResponse of(Kind kind) {
        return new OwnerResponse(kind, Optional.empty());
    }

    static OwnerResponse repeated(Optional<CallOutcome> outcome) {
        return new OwnerResponse(Kind.REPEATED, outcome);
    }
}
