package org.cactusshift.internal.coordination.quarantine;

import java.util.ArrayList;
import java.util.List;

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
         * All requests with the same prompt part after the first one, whatever else they contain. More crashes are
         * needed than for a request, because a part that sound requests share must not be refused.
         */
        PROMPT_PART(3),

        /**
         * All requests whose prompts begin with the same part. Most requests share it, so a part that follows it is
         * refused first; from then on crashes count against that one alone.
         */
        FIRST_PROMPT_PART(5);

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
     * Returns the suspects that stand for the parts of a prompt that other requests may have too.
     *
     * @param partIds the ids of the parts, in the order of the prompt
     * @return the suspects
     */
    public static List<CrashSuspect> promptParts(List<Long> partIds) {
        List<CrashSuspect> suspects = new ArrayList<>();
        for (long partId : partIds) {
            Kind kind = suspects.isEmpty() ? Kind.FIRST_PROMPT_PART : Kind.PROMPT_PART;
            suspects.add(new CrashSuspect(kind, partId));
        }
        return suspects;
    }

    /** Returns the kind and the value in hexadecimal digits, as in the log. */
    @Override
    public String toString() {
        return kind + ":" + Long.toHexString(value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CrashSuspect that && kind == that.kind && value == that.value;
    }

    @Override
    public int hashCode() {
        return 31 * kind.hashCode() + Long.hashCode(value);
    }
}
