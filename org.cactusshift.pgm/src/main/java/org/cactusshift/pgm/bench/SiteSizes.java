package org.cactusshift.pgm.bench;

/** The sizes of a current site (TODAY), with 8 nodes, and of a planned site (PLANNED), with 1,800 nodes. */
final class SiteSizes {
    static final int NODES_TODAY = 8;
    static final int NODES_PLANNED = 1_800;
    static final int ENGINES_TODAY = 12;
    static final int ENGINES_PLANNED = 12_000;
    static final int MODELS_PLANNED = 19;
    static final int FAILURE_DOMAINS_PLANNED = 22;
    static final int ACCOUNTS_TODAY = 8;
    static final int ACCOUNTS_PLANNED = 7_700;
    /** The duties of a current site: 4 usage shards and 8 claim shards. */
    static final int DUTIES_TODAY = 12;
    /** The duties of a planned site: also one for each model in each failure domain and one for each failure domain. */
    static final int DUTIES_PLANNED = DUTIES_TODAY + MODELS_PLANNED * FAILURE_DOMAINS_PLANNED + FAILURE_DOMAINS_PLANNED;
    /** The engines of one model at a planned site. */
    static final int ENGINES_PER_MODEL_PLANNED = ENGINES_PLANNED / MODELS_PLANNED;

    private SiteSizes() {}
}
