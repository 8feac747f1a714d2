package org.cactusshift.internal.transport.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.quota.QuotaGrant;
import org.cactusshift.internal.coordination.quota.QuotaRequest;

/**
 * Encodes requests for credit and their answers as text: the type and the fields, separated by spaces. A node of a
 * release without quotas drops them as malformed gossip messages.
 */
final class QuotaMessage {
    private static final String REQUEST = "quotaRequest";
    private static final String GRANT = "quotaGrant";
    private static final String SEPARATOR = " ";
    private static final int REQUEST_FIELDS = 9;
    private static final int GRANT_FIELDS = 6;

    private QuotaMessage() {}

    static byte[] encode(QuotaRequest request) {
        return bytes(
                REQUEST,
                request.node().value(),
                request.incarnation().value(),
                request.account().value(),
                Long.toString(request.wanted()),
                Long.toString(request.minimum()),
                Long.toString(request.returned()),
                Boolean.toString(request.usesOwnShare()),
                Long.toString(request.sequence()));
    }

    static byte[] encode(QuotaGrant grant) {
        return bytes(
                GRANT,
                grant.account().value(),
                Long.toString(grant.sequence()),
                Long.toString(grant.granted()),
                Long.toString(grant.untilMillis()),
                Long.toString(grant.retryAfterMillis()));
    }

    private static byte[] bytes(String... fields) {
        return String.join(SEPARATOR, fields).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns whether a datagram is about quotas, malformed or not; every other kind begins with another character. */
    static boolean isQuotaMessage(byte[] bytes) {
        return bytes.length > 0 && bytes[0] == REQUEST.charAt(0);
    }

    /** Decodes a request; returns empty when the bytes are another kind of message, or malformed. */
    static Optional<QuotaRequest> decodeRequest(byte[] bytes) {
        String[] fields = fields(bytes);
        if (fields.length != REQUEST_FIELDS || !fields[0].equals(REQUEST)) {
            return Optional.empty();
        }
        try {
            return Optional.of(new QuotaRequest(
                    InstanceId.fromString(fields[1]),
                    IncarnationId.fromString(fields[2]),
                    AccountId.fromString(fields[3]),
                    amount(fields[4]),
                    amount(fields[5]),
                    amount(fields[6]),
                    Boolean.parseBoolean(fields[7]),
                    amount(fields[8])));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Decodes an answer; returns empty when the bytes are another kind of message, or malformed. */
    static Optional<QuotaGrant> decodeGrant(byte[] bytes) {
        String[] fields = fields(bytes);
        if (fields.length != GRANT_FIELDS || !fields[0].equals(GRANT)) {
            return Optional.empty();
        }
        try {
            return Optional.of(new QuotaGrant(
                    AccountId.fromString(fields[1]),
                    amount(fields[2]),
                    amount(fields[3]),
                    amount(fields[4]),
                    amount(fields[5])));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static String[] fields(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8).split(SEPARATOR, -1);
    }

    private static long amount(String text) {
        long value = Long.parseLong(text);
        if (value < 0) {
            throw new IllegalArgumentException("a number of a quota message must not be negative, got: " + value);
        }
        return value;
    }
}
