package org.cactusshift.replay;

/** The situation that a generated trace exercises. */
public enum Scenario {
    /** Phases with and without long documents alternate, with a period of 75 seconds. */
    MIX_SHIFT(180),
    /** One client account sends document requests at a multiple of the whole site's steady rate of them. */
    FLOOD(90),
    /** The reclaimable upstreams of a failure domain are reclaimed; an engine crashes; another one is withdrawn. */
    DOMAIN_LOSS(120),
    /** A crash-inducing request is sent repeatedly. */
    CRASHING_REQUEST(60),
    /** Load reports arrive late while the request mix alternates. */
    LATE_REPORTS(90),
    /** All of the above together. */
    ALL(150);

    private final int durationSeconds;

    Scenario(int durationSeconds) {
        this.durationSeconds = durationSeconds;
    }

    /**
     * Returns the duration of the trace.
     *
     * @return the duration, in seconds
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
