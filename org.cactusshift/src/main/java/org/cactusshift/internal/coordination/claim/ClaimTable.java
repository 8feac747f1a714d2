package org.cactusshift.internal.coordination.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusshift.internal.coordination.lease.RendezvousHash;

/**
 * The claims of a shard in the memory of its holder, partitioned into parts with a lock each.
 *
 * <p>A claim is first pending, then durable and open, then done. A claim that its dispatcher abandoned is in withdrawal
 * until that is durable too; meanwhile the same key is neither granted nor reported as open.
 *
 * <p>Thread-safe; each call is atomic.
 */
public final class ClaimTable {
    private static final int PARTS = 16;

    private final Part[] parts = new Part[PARTS];

    private ClaimTable() {
        for (int i = 0; i < PARTS; i++) {
            parts[i] = new Part();
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
        /** The key was used before with a different body. */
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
     * The result of {@link #begin}.
     *
     * @param status the status of the key
     * @param outcome the recorded outcome, if the call is done
     */
    public record BeginResult(KeyStatus status, Optional<CallOutcome> outcome) {}

    private record Slot(String bodyDigest, String attempt, Phase phase, long atEpochMillis, CallOutcome outcome) {
        Slot withPhase(Phase next) {
            return new Slot(bodyDigest, attempt, next, atEpochMillis, outcome);
        }
    }

    /** A part of the table, guarded by itself. */
    private static final class Part {
        private final Map<ClaimKey, Slot> slots = new HashMap<>();
    }

    /**
     * Looks up the key of a claim and enters the claim as pending if the key is free.
     *
     * @param key the key
     * @param bodyDigest the digest of the call
     * @param attempt the attempt for which the claim is made
     * @param nowEpochMillis the current wall-clock time
     * @return the status of the key, and the recorded outcome if there is one
     */
    public BeginResult begin(ClaimKey key, String bodyDigest, String attempt, long nowEpochMillis) {
        Part part = part(key);
        synchronized (part) {
            Slot slot = part.slots.get(key);
            if (slot == null) {
                part.slots.put(key, new Slot(bodyDigest, attempt, Phase.PENDING, nowEpochMillis, null));
                return new BeginResult(KeyStatus.ENTERED, Optional.empty());
            }
            return new BeginResult(statusOf(slot, bodyDigest, attempt), Optional.ofNullable(slot.outcome()));
        }
    }

    private static KeyStatus statusOf(Slot slot, String bodyDigest, String attempt) {
        if (slot.phase() == Phase.WITHDRAWING) {
            return KeyStatus.WITHDRAWING;
        }
        if (!slot.bodyDigest().equals(bodyDigest)) {
            return KeyStatus.BODY_MISMATCH;
        }
        if (slot.phase() == Phase.DONE) {
            return KeyStatus.DONE;
        }
        if (!slot.attempt().equals(attempt)) {
            return KeyStatus.OPEN;
        }
        return slot.phase() == Phase.PENDING ? KeyStatus.PENDING : KeyStatus.GRANTED;
    }

    /**
     * Enters a claim that was loaded from the log.
     *
     * @param key the key
     * @param bodyDigest the digest of the call
     * @param attempt the attempt
     * @param atEpochMillis when the claim was made
     */
    public void restore(ClaimKey key, String bodyDigest, String attempt, long atEpochMillis) {
        Part part = part(key);
        synchronized (part) {
            part.slots.put(key, new Slot(bodyDigest, attempt, Phase.OPEN, atEpochMillis, null));
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
     * Records that a dispatcher abandoned a claim before the call was sent.
     *
     * @param key the key
     * @param attempt the attempt
     * @return the phase before the call; empty when there is no such claim
     */
    public Optional<Phase> withdraw(ClaimKey key, String attempt) {
        Part part = part(key);
        synchronized (part) {
            Slot slot = part.slots.get(key);
            if (slot == null || !slot.attempt().equals(attempt)) {
                return Optional.empty();
            }
            if (slot.phase() == Phase.PENDING || slot.phase() == Phase.OPEN) {
                part.slots.put(key, slot.withPhase(Phase.WITHDRAWING));
            }
            return Optional.of(slot.phase());
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
        Part part = part(key);
        synchronized (part) {
            Slot slot = part.slots.get(key);
            boolean removable = slot != null
                    && slot.attempt().equals(attempt)
                    && (slot.phase() == Phase.PENDING || slot.phase() == Phase.WITHDRAWING);
            if (removable) {
                part.slots.remove(key);
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
    public boolean record(ClaimKey key, String attempt, CallOutcome outcome) {
        Part part = part(key);
        synchronized (part) {
            Slot slot = part.slots.get(key);
            if (slot == null || !slot.attempt().equals(attempt) || slot.phase() != Phase.OPEN) {
                return false;
            }
            part.slots.put(key, new Slot(slot.bodyDigest(), attempt, Phase.DONE, slot.atEpochMillis(), outcome));
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
        for (Part part : parts) {
            synchronized (part) {
                int before = part.slots.size();
                part.slots
                        .values()
                        .removeIf(slot -> slot.atEpochMillis() < beforeEpochMillis
                                && (slot.phase() == Phase.OPEN || slot.phase() == Phase.DONE));
                expired += before - part.slots.size();
            }
        }
        return expired;
    }

    private boolean changePhase(ClaimKey key, String attempt, Phase from, Phase to) {
        Part part = part(key);
        synchronized (part) {
            Slot slot = part.slots.get(key);
            boolean matches = slot != null && slot.attempt().equals(attempt) && slot.phase() == from;
            if (matches) {
                part.slots.put(key, slot.withPhase(to));
            }
            return matches;
        }
    }

    private Part part(ClaimKey key) {
        return parts[(int) Long.remainderUnsigned(RendezvousHash.hash(key.digest()) >>> Integer.SIZE, PARTS)];
    }
}
