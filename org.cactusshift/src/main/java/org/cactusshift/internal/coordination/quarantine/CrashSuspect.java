package org.cactusshift.internal.coordination.quarantine;

/**
 * What may have caused the crash of an upstream.
 *
 * @param kind what the value identifies
 * @param value the identifier; for {@link Kind#REQUEST} the fingerprint of the request
 */
public record CrashSuspect(Kind kind, long value) {
    /** The kinds of suspects. */
    public enum Kind {
        /** All requests with the same fingerprint. */
        REQUEST(2);

        private final int refusalCrashCount;

        Kind(int refusalCrashCount) {
            this.refusalCrashCount = refusalCrashCount;
        }

        int refusalCrashCount() {
            return refusalCrashCount;
        }
    }

    /**
     * Returns the suspect that stands for all requests with a fingerprint.
     *
     * @param fingerprint the fingerprint
     * @return the suspect
     */
    public static CrashSuspect request(long fingerprint) {
        return new CrashSuspect(Kind.REQUEST, fingerprint);
    }

    /** Returns the kind and the value in hexadecimal digits, as in the log. */
    @Override
    public String toString() {
        return kind + ":" + Long.toHexString(value);
    }
}
