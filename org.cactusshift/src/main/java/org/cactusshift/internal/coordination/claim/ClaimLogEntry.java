package org.cactusshift.internal.coordination.claim;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import java.io.UncheckedIOException;

/**
 * An entry of the claim log, stored as one line of JSON.
 *
 * @param kind the kind of entry
 * @param key the digest of the claim key
 * @param attempt the attempt for which the claim was made
 * @param bodyDigest the SHA-256 digest of method, path and body, in hexadecimal; only in a claim
 * @param atEpochMillis when the claim was made; 0 in other kinds of entry
 * @param status the HTTP status; 0 for an unknown outcome and in other kinds of entry
 * @param contentType the content type; only in an outcome
 * @param body the body; only in an outcome, and empty when too large to be stored
 * @param known whether the outcome is known; false in other kinds of entry
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
    /**
     * The largest response body that is stored for repeated calls; a larger one is stored as empty. Bounds the size of
     * a write, see {@link ClaimQueue#MAXIMUM_BATCH_ENTRIES}.
     */
    static final int MAXIMUM_BODY_BYTES = 2 * 1024;

    private static final ObjectMapper MAPPER =
            new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);

    /** The kind of an entry. */
    enum Kind {
        /** A call was claimed. */
        CLAIM,
        /** The outcome of a claimed call was recorded. */
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

    static ClaimLogEntry withdrawal(ClaimKey key, String attempt) {
        return new ClaimLogEntry(Kind.RELEASE, key.digest(), attempt, null, 0, 0, null, null, false);
    }

    static ClaimLogEntry fromLine(String line) {
        try {
            return MAPPER.readValue(line, ClaimLogEntry.class);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("claim log entry can't be parsed; the shard is not loaded", e);
        }
    }

    String toLine() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("claim log entry can't be serialized", e);
        }
    }

    /** Replays the entry on a table when the log is loaded. */
    void applyTo(ClaimTable table) {
        ClaimKey claimKey = new ClaimKey(key);
        switch (kind) {
            case CLAIM -> table.restore(claimKey, bodyDigest, attempt, atEpochMillis);
            case OUTCOME -> table.recordOutcome(claimKey, attempt, callOutcome());
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
