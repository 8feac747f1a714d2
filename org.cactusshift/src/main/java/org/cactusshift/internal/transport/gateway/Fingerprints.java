package org.cactusshift.internal.transport.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;

/** Hashes by which a request that is sent again is recognised. */
final class Fingerprints {
    private Fingerprints() {}

    /** Returns the hash of account, service and body under which crashes are counted. */
    static long of(AccountId account, ServiceId service, byte[] body) {
        MessageDigest digest = sha256();
        update(digest, account.value());
        update(digest, service.value());
        return ByteBuffer.wrap(digest.digest(body)).getLong();
    }

    /** Returns the digest of method, target and body by which a reused idempotency key is checked, as hex. */
    static String digestHex(String method, String target, byte[] body) {
        MessageDigest digest = sha256();
        update(digest, method);
        update(digest, target);
        return HexFormat.of().formatHex(digest.digest(body));
    }

    private static void update(MessageDigest digest, String part) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        // The length keeps two parts from being read as one.
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        digest.update(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
