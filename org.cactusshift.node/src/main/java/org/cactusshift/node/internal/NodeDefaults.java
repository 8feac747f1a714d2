package org.cactusshift.node.internal;

import org.cactusshift.config.LimitsConfig;
import org.cactusshift.config.TimingConfig;
import org.cactusshift.internal.coordination.store.StoreBudget;

/** Limits and periods of a node that has no configuration yet, and its budget of store calls. */
public final class NodeDefaults {
    /** The limits before the first configuration. */
    public static final LimitsConfig LIMITS = new LimitsConfig(1_048_576, 32_768, 1_000, 1_000, 0.1, 100);

    /** The periods before the first configuration. */
    public static final TimingConfig TIMING =
            new TimingConfig(30_000, 10_000, 5_000, 500, 500, 2_000, 5_000, 4_000, 60_000, 1_000, 15_000, 30_000);

    /** The store calls that one node may make, so that a fault of one node leaves the service to the others. */
    public static final StoreBudget STORE_BUDGET = StoreBudget.of(200, 200);

    private NodeDefaults() {}
}
