package org.cactusshift.internal.transport.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;

/** Computes the hashes by which requests are compared. */
final class Fingerprints {
    private Fingerprints() {}

    /** Returns 64 bits of the SHA-256 hash of account, service and body; the quarantine counts crashes by it. */
    static long crashFingerprint(AccountId account, ServiceId service, byte[] body) {
        MessageDigest digest = sha256();
        update(digest, account.value());
        update(digest, service.value());
        return ByteBuffer.wrap(digest.digest(body)).getLong();
    }

    /**
     * Returns the SHA-256 digest of method, target and body, in hexadecimal; it detects an idempotency key that is
     * reused for another call.
     */
    static String callDigestHex(String method, String target, byte[] body) {
        MessageDigest digest = sha256();
        update(digest, method);
        update(digest, target);
        return HexFormat.of().formatHex(digest.digest(body));
    }

    private static void update(MessageDigest digest, String part) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        // The length prefix keeps different sequences of parts from having the same digest.
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        digest.update(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform lacks SHA-256", e);
        }
    }
}
