package org.cactusshift.internal.coordination.serving;

import java.util.Map;
import java.util.TreeMap;
import org.cactusshift.id.FailureDomainId;

/**
 * The target number of engines of a service, by failure domain and kind.
 *
 * @param byDomain the planned engines by failure domain
 * @param complete whether all engines of the operator's initial fleet were registered; until then the plan is
 *     recomputed and no on-demand engine is released
 */
public record FleetPlan(Map<FailureDomainId, Counts> byDomain, boolean complete) {
    /** Copies the map. */
    public FleetPlan {
        byDomain = Map.copyOf(byDomain);
    }

    /**
     * The number of engines of each kind.
     *
     * @param lasting on-demand engines, which stay until they are released
     * @param reclaimable engines on capacity that the platform may reclaim at short notice
     */
    public record Counts(int lasting, int reclaimable) {
        /** No engines. */
        public static final Counts NONE = new Counts(0, 0);

        /**
         * Returns these counts increased by further engines.
         *
         * @param moreOnDemand further on-demand engines
         * @param moreReclaimable further reclaimable engines
         * @return the sum
         */
        public Counts plus(int moreOnDemand, int moreReclaimable) {
            return new Counts(lasting + moreOnDemand, reclaimable + moreReclaimable);
        }

        /**
         * Returns the number of engines of both kinds.
         *
         * @return the number of engines
         */
        public int total() {
            return lasting + reclaimable;
        }
    }

    /**
     * Returns the planned number of engines in all failure domains.
     *
     * @return the number of engines
     */
    public int total() {
        return byDomain.values().stream().mapToInt(Counts::total).sum();
    }

    /**
     * Returns a copy of the counts, sorted by failure domain.
     *
     * @return the counts; the caller may modify the map
     */
    public Map<FailureDomainId, Counts> sorted() {
        return new TreeMap<>(byDomain);
    }
}
