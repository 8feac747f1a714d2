package org.cactusshift.node.internal;

import org.cactusshift.config.LimitsConfig;
import org.cactusshift.config.TimingConfig;
import org.cactusshift.internal.coordination.store.StoreBudget;

/** The limits and periods of a node that has no configuration yet, and the budget for its store calls. */
public final class NodeDefaults {
    /** The limits that apply before the first configuration. */
    public static final LimitsConfig LIMITS = new LimitsConfig(1_048_576, 32_768, 1_000, 1_000, 0.1, 100);

    /** The periods and timeouts that apply before the first configuration. */
    public static final TimingConfig TIMING =
            new TimingConfig(30_000, 10_000, 5_000, 500, 500, 2_000, 5_000, 4_000, 60_000, 1_000, 15_000, 30_000);

    /** The budget for the store calls of one node, so that a faulty node can't exhaust the key-value service. */
    public static final StoreBudget STORE_BUDGET = StoreBudget.of(200, 200);

    private NodeDefaults() {}
}
