package org.cactusshift.internal.transport.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;

/** Computes the hashes that identify repeated requests. */
final class Fingerprints {
    private Fingerprints() {}

    /** Returns the hash of account, service and body; crashes of upstreams are counted by it. */
    static long of(AccountId account, ServiceId service, byte[] body) {
        MessageDigest digest = sha256();
        update(digest, account.value());
        update(digest, service.value());
        return ByteBuffer.wrap(digest.digest(body)).getLong();
    }

    /** Returns the digest of method, target and body in hex; it detects an idempotency key reused for another call. */
    static String digestHex(String method, String target, byte[] body) {
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
