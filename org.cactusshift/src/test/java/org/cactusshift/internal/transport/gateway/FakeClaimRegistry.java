package org.cactusshift.internal.transport.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cactusshift.internal.coordination.claim.CallClaim;
import org.cactusshift.internal.coordination.claim.CallOutcome;
import org.cactusshift.internal.coordination.claim.ClaimRegistry;
import org.cactusshift.internal.coordination.claim.ClaimResult;

/** Holds claims in memory and records each method call; a withdrawal is recorded as {@code release}. */
final class FakeClaimRegistry implements ClaimRegistry {
    final List<String> calls = new CopyOnWriteArrayList<>();
    private final Map<String, CallClaim> claims = new HashMap<>();
    private final Map<String, CallOutcome> outcomes = new HashMap<>();
    boolean available = true;

    @Override
    public synchronized ClaimResult claim(CallClaim claim, long nowMillis, long deadlineMillis) {
        calls.add("claim");
        if (!available) {
            return ClaimResult.of(ClaimResult.Verdict.UNAVAILABLE);
        }
        String key = claim.account() + "/" + claim.service() + "/" + claim.idempotencyKey();
        CallClaim earlier = claims.putIfAbsent(key, claim);
        if (earlier == null) {
            return ClaimResult.of(ClaimResult.Verdict.GRANTED);
        }
        if (!earlier.bodyDigestHex().equals(claim.bodyDigestHex())) {
            return ClaimResult.of(ClaimResult.Verdict.BODY_MISMATCH);
        }
        CallOutcome outcome = outcomes.get(key);
        return outcome == null || !outcome.known()
                ? ClaimResult.of(ClaimResult.Verdict.OPEN)
                : new ClaimResult(ClaimResult.Verdict.REPEATED, Optional.of(outcome));
    }

    @Override
    public synchronized void recordOutcome(CallClaim claim, CallOutcome outcome, long nowMillis) {
        calls.add(outcome.known() ? "record " + outcome.status() : "record unknown");
        outcomes.put(claim.account() + "/" + claim.service() + "/" + claim.idempotencyKey(), outcome);
    }

    @Override
    public synchronized void withdraw(CallClaim claim, long nowMillis) {
        calls.add("release");
        claims.remove(claim.account() + "/" + claim.service() + "/" + claim.idempotencyKey());
    }
}
