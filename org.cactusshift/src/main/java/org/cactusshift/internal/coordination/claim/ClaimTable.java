package org.cactusshift.internal.coordination.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusshift.internal.coordination.lease.RendezvousHash;

/**
 * The claims of a shard in the memory of its holder, in stripes with a lock each.
 *
 * <p>A claim is first pending, then durable and open, then done. A claim that its dispatcher abandoned is in withdrawal
 * until that is durable too; meanwhile the same key is neither granted nor reported as open.
 *
 * <p>Thread-safe; each call is atomic.
 */
public final class ClaimTable {
    private static final int STRIPE_COUNT = 16;

    private final Stripe[] stripes = new Stripe[STRIPE_COUNT];

    private ClaimTable() {
        for (int i = 0; i < STRIPE_COUNT; i++) {
            stripes[i] = new Stripe();
        }
    }

    /**
     * Returns an empty table.
     *
     * @return the table
     */
    public static ClaimTable create() {
        return new ClaimTable();
    }

    /** The status of a key when a claim arrives. */
    public enum KeyStatus {
        /** The key was free; the claim was entered as pending. */
        ENTERED,
        /** The same attempt's claim is pending. */
        PENDING,
        /** The same attempt's claim is durable and open. */
        GRANTED,
        /** Another attempt's claim is pending or open. */
        OPEN,
        /** The call was made and its outcome is recorded. */
        DONE,
        /** The idempotency key was used before with a different method, path or body. */
        BODY_MISMATCH,
        /** A claim of the key is in withdrawal. */
        WITHDRAWING
    }

    /** The phase of a claim. */
    public enum Phase {
        /** Entered, not confirmed as durable. */
        PENDING,
        /** Durable; the call may have been dispatched. */
        OPEN,
        /** Durable with its outcome. */
        DONE,
        /** Abandoned by its dispatcher before the call was sent; the withdrawal is not yet durable. */
        WITHDRAWING
    }

    /**
     * The result of {@link #addIfFree}.
     *
     * @param status the status of the key
     * @param outcome the recorded outcome of the call that holds the key: present for {@link KeyStatus#DONE}, and for
     *     {@link KeyStatus#BODY_MISMATCH} when the earlier call is done
     */
    public record AddResult(KeyStatus status, Optional<CallOutcome> outcome) {}

    private record ClaimState(
            String bodyDigest, String attempt, Phase phase, long claimedAtEpochMillis, CallOutcome outcome) {
        ClaimState withPhase(Phase next) {
            return new ClaimState(bodyDigest, attempt, next, claimedAtEpochMillis, outcome);
        }
    }

    /** One stripe of the table, guarded by its own monitor. */
    private static final class Stripe {
        private final Map<ClaimKey, ClaimState> stateByKey = new HashMap<>();
    }

    /**
     * Looks up the key of a claim and enters the claim as pending if the key is free.
     *
     * @param key the key
     * @param bodyDigest the SHA-256 digest of method, path and body, in hexadecimal
     * @param attempt the attempt for which the claim is made
     * @param nowEpochMillis the current wall-clock time
     * @return the status of the key, and the recorded outcome if there is one
     */
    public AddResult addIfFree(ClaimKey key, String bodyDigest, String attempt, long nowEpochMillis) {
        Stripe stripe = stripe(key);
        synchronized (stripe) {
            ClaimState state = stripe.stateByKey.get(key);
            if (state == null) {
                stripe.stateByKey.put(key, new ClaimState(bodyDigest, attempt, Phase.PENDING, nowEpochMillis, null));
                return new AddResult(KeyStatus.ENTERED, Optional.empty());
            }
            return new AddResult(statusOf(state, bodyDigest, attempt), Optional.ofNullable(state.outcome()));
        }
    }

    private static KeyStatus statusOf(ClaimState state, String bodyDigest, String attempt) {
        if (state.phase() == Phase.WITHDRAWING) {
            return KeyStatus.WITHDRAWING;
        }
        if (!state.bodyDigest().equals(bodyDigest)) {
            return KeyStatus.BODY_MISMATCH;
        }
        if (state.phase() == Phase.DONE) {
            return KeyStatus.DONE;
        }
        if (!state.attempt().equals(attempt)) {
            return KeyStatus.OPEN;
        }
        return state.phase() == Phase.PENDING ? KeyStatus.PENDING : KeyStatus.GRANTED;
    }

    /**
     * Enters a claim that was loaded from the log as open, in place of any claim of the same key.
     *
     * @param key the key
     * @param bodyDigest the SHA-256 digest of method, path and body, in hexadecimal
     * @param attempt the attempt
     * @param claimedAtEpochMillis when the claim was made
     */
    public void restore(ClaimKey key, String bodyDigest, String attempt, long claimedAtEpochMillis) {
        Stripe stripe = stripe(key);
        synchronized (stripe) {
            stripe.stateByKey.put(key, new ClaimState(bodyDigest, attempt, Phase.OPEN, claimedAtEpochMillis, null));
        }
    }

    /**
     * Records that a pending claim is durable.
     *
     * @param key the key
     * @param attempt the attempt
     * @return whether the claim was pending
     */
    public boolean confirm(ClaimKey key, String attempt) {
        return changePhase(key, attempt, Phase.PENDING, Phase.OPEN);
    }

    /**
     * Records that a dispatcher abandoned a claim before the call was sent. A claim that is done is not changed.
     *
     * @param key the key
     * @param attempt the attempt
     * @return the phase before the withdrawal; empty when there is no such claim
     */
    public Optional<Phase> withdraw(ClaimKey key, String attempt) {
        Stripe stripe = stripe(key);
        synchronized (stripe) {
            ClaimState state = stripe.stateByKey.get(key);
            if (state == null || !state.attempt().equals(attempt)) {
                return Optional.empty();
            }
            if (state.phase() == Phase.PENDING || state.phase() == Phase.OPEN) {
                stripe.stateByKey.put(key, state.withPhase(Phase.WITHDRAWING));
            }
            return Optional.of(state.phase());
        }
    }

    /**
     * Removes a claim that is pending or in withdrawal, which makes the key free.
     *
     * @param key the key
     * @param attempt the attempt
     * @return whether there was such a claim
     */
    public boolean remove(ClaimKey key, String attempt) {
        Stripe stripe = stripe(key);
        synchronized (stripe) {
            ClaimState state = stripe.stateByKey.get(key);
            boolean removable = state != null
                    && state.attempt().equals(attempt)
                    && (state.phase() == Phase.PENDING || state.phase() == Phase.WITHDRAWING);
            if (removable) {
                stripe.stateByKey.remove(key);
            }
            return removable;
        }
    }

    /**
     * Records the outcome of an open claim.
     *
     * @param key the key
     * @param attempt the attempt
     * @param outcome the outcome
     * @return whether the claim was open
     */
    public boolean recordOutcome(ClaimKey key, String attempt, CallOutcome outcome) {
        Stripe stripe = stripe(key);
        synchronized (stripe) {
            ClaimState state = stripe.stateByKey.get(key);
            if (state == null || !state.attempt().equals(attempt) || state.phase() != Phase.OPEN) {
                return false;
            }
            stripe.stateByKey.put(
                    key,
                    new ClaimState(state.bodyDigest(), attempt, Phase.DONE, state.claimedAtEpochMillis(), outcome));
            return true;
        }
    }

    /**
     * Removes open and done claims that were made before a time.
     *
     * @param beforeEpochMillis the time
     * @return the number of claims removed
     */
    public int expire(long beforeEpochMillis) {
        int expired = 0;
        for (Stripe stripe : stripes) {
            synchronized (stripe) {
                int before = stripe.stateByKey.size();
                stripe.stateByKey
                        .values()
                        .removeIf(state -> state.claimedAtEpochMillis() < beforeEpochMillis
                                && (state.phase() == Phase.OPEN || state.phase() == Phase.DONE));
                expired += before - stripe.stateByKey.size();
            }
        }
        return expired;
    }

    private boolean changePhase(ClaimKey key, String attempt, Phase from, Phase to) {
        Stripe stripe = stripe(key);
        synchronized (stripe) {
            ClaimState state = stripe.stateByKey.get(key);
            boolean matches = state != null && state.attempt().equals(attempt) && state.phase() == from;
            if (matches) {
                stripe.stateByKey.put(key, state.withPhase(to));
            }
            return matches;
        }
    }

    private Stripe stripe(ClaimKey key) {
        // The upper half of the hash, because the keys of one shard agree in the remainder of the whole hash.
        return stripes[(int) Long.remainderUnsigned(RendezvousHash.hash(key.digest()) >>> Integer.SIZE, STRIPE_COUNT)];
    }
}
