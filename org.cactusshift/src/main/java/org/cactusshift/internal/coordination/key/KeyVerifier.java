package org.cactusshift.internal.coordination.key;

import java.util.Optional;
import org.cactusshift.id.KeyId;

/** Verifies the keys that callers present. */
public interface KeyVerifier {
    /**
     * Verifies a presented key in constant time.
     *
     * @param bearer the text after {@code Bearer }, or empty
     * @param nowMillis the present time, monotonic
     * @return the verdict
     */
    KeyVerdict verify(Optional<String> bearer, long nowMillis);

    /**
     * Tells whether a key that opened a stream is still honoured.
     *
     * @param key the key's id
     * @param nowMillis the present time, monotonic
     * @return false when the stream must end
     */
    boolean isStillValid(KeyId key, long nowMillis);
}
