package org.cactusshift.replay;

/** What a generated trace tries. */
public enum Scenario {
    /** The mix swings between brief questions and long documents within minutes. */
    MIX_SHIFT(180),
    /** One client account sends several times its share. */
    FLOOD(90),
    /** A failure domain's reclaimable upstreams are taken; an engine crashes; another is withdrawn. */
    DOMAIN_LOSS(120),
    /** A request that crashes its engine is sent again and again. */
    CRASHING_REQUEST(60),
    /** Load reports come late. */
    LATE_REPORTS(90),
    /** All of it. */
    ALL(150);

    private final int durationSeconds;

    Scenario(int durationSeconds) {
        this.durationSeconds = durationSeconds;
    }

    /**
     * Returns the length of the trace.
     *
     * @return seconds
     */
    public int durationSeconds() {
        return durationSeconds;
    }

    boolean shiftsMix() {
        return this == MIX_SHIFT || this == LATE_REPORTS || this == ALL;
    }

    boolean floods() {
        return this == FLOOD || this == ALL;
    }

    boolean losesDomain() {
        return this == DOMAIN_LOSS || this == ALL;
    }

    boolean hasCrashingRequest() {
        return this == CRASHING_REQUEST || this == ALL;
    }

    boolean delaysReports() {
        return this == LATE_REPORTS || this == ALL;
    }
}
