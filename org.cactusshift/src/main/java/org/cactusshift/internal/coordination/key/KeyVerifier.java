package org.cactusshift.internal.coordination.key;

import java.util.Optional;
import org.cactusshift.id.KeyId;

/** Verifies the keys that callers present. */
public interface KeyVerifier {
    /**
     * Verifies a presented key. The time taken does not reveal whether the key id exists.
     *
     * @param bearerToken the text after {@code Bearer }; empty when the request has no key
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the verdict
     */
    KeyVerdict verify(Optional<String> bearerToken, long nowMillis);

    /**
     * Returns whether a key that was accepted for a running stream is still valid.
     *
     * @param key the key's id
     * @param nowMillis the current monotonic time, in milliseconds
     * @return false when the stream must be ended
     */
    boolean isStillValid(KeyId key, long nowMillis);
}
