package org.cactusshift.internal.coordination.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusshift.internal.coordination.lease.RendezvousHash;

/**
 * The claims that the owner of a claim shard knows, in parts that have a lock each.
 *
 * <p>A claim is first pending, then durable and open, then done. A claim that its dispatcher gave up is being withdrawn
 * until that is durable too; meanwhile the same key is neither granted nor called unknown.
 *
 * <p>Safe for use by several threads; each call is atomic.
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

    /** What is known of a key when a claim arrives. */
    public enum KeyStatus {
        /** Nothing; the claim was entered as pending. */
        ENTERED,
        /** The same attempt's claim is pending. */
        PENDING,
        /** The same attempt's claim is durable and open. */
        GRANTED,
        /** Another attempt's claim is pending or open. */
        OPEN,
        /** The call was made and its outcome is recorded. */
        DONE,
        /** The key was used with another body. */
        BODY_MISMATCH,
        /** A claim of the key is being withdrawn. */
        WITHDRAWING
    }

    /** How far a claim has come. */
    public enum Phase {
        /** Entered, not known to be durable. */
        PENDING,
        /** Durable; the call may have been dispatched. */
        OPEN,
        /** Durable with its outcome. */
        DONE,
        /** Given up by its dispatcher before the call was sent. */
        WITHDRAWING
    }

    /**
     * The answer to a claim.
     *
     * @param status what is known of the key
     * @param outcome the recorded outcome when the call is done
     */
    public record BeginResult(KeyStatus status, Optional<CallOutcome> outcome) {}

    private record Slot(String bodyDigest, String attempt, Phase phase, long atEpochMillis, CallOutcome outcome) {
        Slot in(Phase next) {
            return new Slot(bodyDigest, attempt, next, atEpochMillis, outcome);
        }
    }

    /** A part of the table, guarded by itself. */
    private static final class Part {
        private final Map<ClaimKey, Slot> slots = new HashMap<>();
    }

    /**
     * Takes a claim; enters it as pending when the key is free.
     *
     * @param key the key
     * @param bodyDigest the digest of the call
     * @param attempt the attempt for which the claim is made
     * @param nowEpochMillis the present wall-clock time
     * @return what is known of the key
     */
    public BeginResult begin(ClaimKey key, String bodyDigest, String attempt, long nowEpochMillis) {
        Part part = part(key);
        synchronized (part) {
            Slot slot = part.slots.get(key);
            if (slot == null) {
                part.slots.put(key, new Slot(bodyDigest, attempt, Phase.PENDING, nowEpochMillis, null));
                return new BeginResult(KeyStatus.ENTERED, Optional.empty());
            }
            return new BeginResult(find(slot, bodyDigest, attempt), Optional.ofNullable(slot.outcome()));
        }
    }

    private static KeyStatus find(Slot slot, String bodyDigest, String attempt) {
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
     * Enters a claim that was read from the log.
     *
     * @param key the key
     * @param bodyDigest the digest of the call
     * @param attempt the attempt
     * @param atEpochMillis when it was made
     */
    public void restore(ClaimKey key, String bodyDigest, String attempt, long atEpochMillis) {
        Part part = part(key);
        synchronized (part) {
            part.slots.put(key, new Slot(bodyDigest, attempt, Phase.OPEN, atEpochMillis, null));
        }
    }

    /**
     * Notes that a pending claim is durable.
     *
     * @param key the key
     * @param attempt the attempt
     * @return whether the claim was pending
     */
    public boolean confirm(ClaimKey key, String attempt) {
        return move(key, attempt, Phase.PENDING, Phase.OPEN);
    }

    /**
     * Notes that a dispatcher gave up a claim before the call was sent.
     *
     * @param key the key
     * @param attempt the attempt
     * @return the phase before, empty when there is no such claim
     */
    public Optional<Phase> withdraw(ClaimKey key, String attempt) {
        Part part = part(key);
        synchronized (part) {
            Slot slot = part.slots.get(key);
            if (slot == null || !slot.attempt().equals(attempt)) {
                return Optional.empty();
            }
            if (slot.phase() == Phase.PENDING || slot.phase() == Phase.OPEN) {
                part.slots.put(key, slot.in(Phase.WITHDRAWING));
            }
            return Optional.of(slot.phase());
        }
    }

    /**
     * Forgets a claim that is pending or being withdrawn, so that the key is free.
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
     * Forgets open and done claims made before a time.
     *
     * @param beforeEpochMillis the time
     * @return how many were forgotten
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

    private boolean move(ClaimKey key, String attempt, Phase from, Phase to) {
        Part part = part(key);
        synchronized (part) {
            Slot slot = part.slots.get(key);
            boolean movable = slot != null && slot.attempt().equals(attempt) && slot.phase() == from;
            if (movable) {
                part.slots.put(key, slot.in(to));
            }
            return movable;
        }
    }

    private Part part(ClaimKey key) {
        return parts[(int) Long.remainderUnsigned(RendezvousHash.hash(key.digest()) >>> Integer.SIZE, PARTS)];
    }
}
