package org.cactusshift.internal.coordination.claim;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import java.io.UncheckedIOException;

/**
 * One line of the claim log.
 *
 * @param kind what the line says
 * @param key the digest of the claim's key
 * @param attempt the attempt for which the claim was made
 * @param bodyDigest the digest of the call; empty but in a claim
 * @param atEpochMillis when it was made; 0 but in a claim
 * @param status the HTTP status; 0 when unknown, and but in an outcome
 * @param contentType the content type; empty but in an outcome
 * @param body the body; empty when too large to be kept, and but in an outcome
 * @param known whether the outcome is known
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
record ClaimLogEntry(
        Kind kind,
        String key,
        String attempt,
        String bodyDigest,
        long atEpochMillis,
        int status,
        String contentType,
        byte[] body,
        boolean known) {
    /** The largest body that is kept for a repeat. */
    static final int MAXIMUM_BODY_BYTES = 2 * 1024;

    private static final ObjectMapper MAPPER =
            new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);

    /** What a line says. */
    enum Kind {
        /** A call was claimed. */
        CLAIM,
        /** The outcome of a claimed call. */
        OUTCOME,
        /** A claim was withdrawn; its call was not sent. */
        RELEASE
    }

    static ClaimLogEntry claim(ClaimKey key, String attempt, String bodyDigest, long atEpochMillis) {
        return new ClaimLogEntry(Kind.CLAIM, key.digest(), attempt, bodyDigest, atEpochMillis, 0, null, null, false);
    }

    static ClaimLogEntry outcome(ClaimKey key, String attempt, CallOutcome outcome) {
        byte[] body = outcome.body().length > MAXIMUM_BODY_BYTES ? new byte[0] : outcome.body();
        return new ClaimLogEntry(
                Kind.OUTCOME,
                key.digest(),
                attempt,
                null,
                0,
                outcome.status(),
                outcome.contentType(),
                body,
                outcome.known());
    }

    static ClaimLogEntry release(ClaimKey key, String attempt) {
        return new ClaimLogEntry(Kind.RELEASE, key.digest(), attempt, null, 0, 0, null, null, false);
    }

    static ClaimLogEntry fromLine(String line) {
        try {
            return MAPPER.readValue(line, ClaimLogEntry.class);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("claim log can't be read", e);
        }
    }

    String toLine() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("claim log can't be written", e);
        }
    }

    /** Applies the line to a table, as when the log is read. */
    void applyTo(ClaimTable table) {
        ClaimKey claimKey = new ClaimKey(key);
        switch (kind) {
            case CLAIM -> table.restore(claimKey, bodyDigest, attempt, atEpochMillis);
            case OUTCOME -> table.record(claimKey, attempt, callOutcome());
            case RELEASE -> {
                table.withdraw(claimKey, attempt);
                table.remove(claimKey, attempt);
            }
            default -> throw new IllegalStateException("unknown kind " + kind);
        }
    }

    private CallOutcome callOutcome() {
        return new CallOutcome(
                status, contentType == null ? "" : contentType, body == null ? new byte[0] : body, known);
    }
}
