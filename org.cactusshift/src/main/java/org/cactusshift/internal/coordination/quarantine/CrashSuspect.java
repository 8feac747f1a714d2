package org.cactusshift.internal.coordination.quarantine;

/**
 * What may have caused the crash of an upstream.
 *
 * @param kind what the value identifies
 * @param value the identifier: the fingerprint of a request, or the id of a prompt part
 */
public record CrashSuspect(Kind kind, long value) {
    /** The kinds of suspects. */
    public enum Kind {
        /** All requests with the same fingerprint. */
        REQUEST(2),

        /**
         * All requests with the same prompt part, whatever else they contain. More crashes are needed than for a
         * request, because a part that sound requests share must not be refused.
         */
        PROMPT_PART(3);

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

    /**
     * Returns the suspect that stands for all requests with a prompt part.
     *
     * @param partId the id of the part
     * @return the suspect
     */
    public static CrashSuspect promptPart(long partId) {
        return new CrashSuspect(Kind.PROMPT_PART, partId);
    }

    /** Returns the kind and the value in hexadecimal digits, as in the log. */
    @Override
    public String toString() {
        return kind + ":" + Long.toHexString(value);
    }
}
