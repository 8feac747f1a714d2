package org.cactusshift.node.internal;

import org.cactusshift.config.LimitsConfig;
import org.cactusshift.config.TimingConfig;
import org.cactusshift.internal.coordination.store.StoreBudget;

/** The limits and periods of a node that has no configuration yet, and the budget for its store calls. */
public final class NodeDefaults {
    /** The limits that apply before the first configuration. */
    public static final LimitsConfig LIMITS = new LimitsConfig(
            1_048_576, // maximumBodyBytes
            32_768, // maximumHeaderBytes
            1_000, // maximumConnections
            1_000, // maximumQueuedRequests
            0.1, // retryBudgetRatio
            100); // storeCallsPerSecond

    /** The periods and timeouts that apply before the first configuration. */
    public static final TimingConfig TIMING = new TimingConfig(
            30_000, // requestTimeoutMillis
            10_000, // headerTimeoutMillis
            5_000, // upstreamProgressTimeoutMillis
            500, // connectTimeoutMillis
            500, // heartbeatMillis
            2_000, // suspicionMillis
            5_000, // leaseTtlMillis
            4_000, // keyFreshnessMillis
            60_000, // usageWindowMillis
            1_000, // usageHandOverMillis
            15_000, // drainTimeoutMillis
            30_000); // shutdownTimeoutMillis

    /** 200 writes and 200 reads per second for each node, so that a faulty node can't exhaust the key-value store. */
    public static final StoreBudget STORE_BUDGET = StoreBudget.of(200, 200);

    private NodeDefaults() {}
}
