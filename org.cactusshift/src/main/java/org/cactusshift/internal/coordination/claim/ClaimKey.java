package org.cactusshift.internal.coordination.claim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.lease.RendezvousHash;

/**
 * Identifies a call that may run at most once, by a digest of the client account, the service and the idempotency key.
 *
 * <p>The digest has a fixed length for every idempotency key, and keeps the keys of callers out of the store.
 *
 * @param digest the SHA-256 digest in URL-safe base64
 */
public record ClaimKey(String digest) {
    /** Ends each part, so that parts with the same joined text, such as "a", "bc" and "ab", "c", differ. */
    private static final byte PART_TERMINATOR = 0;

    /**
     * Returns the key of a call.
     *
     * @param account the client account
     * @param service the service
     * @param idempotencyKey the idempotency key that the caller sent
     * @return the key
     */
    public static ClaimKey of(AccountId account, ServiceId service, String idempotencyKey) {
        MessageDigest sha = sha256();
        update(sha, account.value());
        update(sha, service.value());
        update(sha, idempotencyKey);
        return new ClaimKey(Base64.getUrlEncoder().withoutPadding().encodeToString(sha.digest()));
    }

    /**
     * Returns the key of a claim.
     *
     * @param claim the claim
     * @return the key
     */
    public static ClaimKey of(CallClaim claim) {
        return of(claim.account(), claim.service(), claim.idempotencyKey());
    }

    /**
     * Returns the claim shard of the key.
     *
     * @param shardCount the number of shards; it is the same on all nodes of a site and never changes
     * @return the number of the shard, from 0
     */
    public int shard(int shardCount) {
        return (int) Long.remainderUnsigned(RendezvousHash.hash(digest), shardCount);
    }

    private static void update(MessageDigest sha, String part) {
        sha.update(part.getBytes(StandardCharsets.UTF_8));
        sha.update(PART_TERMINATOR);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
