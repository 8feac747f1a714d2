package org.cactusshift.pgm.bench;

/** The sizes of a current site, with 8 nodes, and of a planned site, with 1,800 nodes. */
final class SiteSizes {
    static final int NODES_TODAY = 8;
    static final int NODES = 1_800;
    static final int ENGINES_TODAY = 12;
    static final int ENGINES = 12_000;
    static final int MODELS = 19;
    static final int FAILURE_DOMAINS = 22;
    static final int ACCOUNTS_TODAY = 8;
    static final int ACCOUNTS = 7_700;
    /** The duties of a current site: 4 usage shards and 8 claim shards. */
    static final int DUTIES_TODAY = 12;
    /** The duties of a planned site: also one for each model in each failure domain and one for each failure domain. */
    static final int DUTIES = DUTIES_TODAY + MODELS * FAILURE_DOMAINS + FAILURE_DOMAINS;
    /** The engines of one model at a planned site. */
    static final int ENGINES_PER_MODEL = ENGINES / MODELS;

    private SiteSizes() {}
}
