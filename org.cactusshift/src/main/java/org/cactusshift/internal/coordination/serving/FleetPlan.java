package org.cactusshift.internal.coordination.serving;

import java.util.Map;
import java.util.TreeMap;
import org.cactusshift.id.FailureDomainId;

/**
 * The planned number of engines of a service.
 *
 * @param byDomain the planned engines by failure domain
 * @param complete whether all engines of the operator's initial fleet were registered; until then the plan only grows
 *     and nothing is released
 */
public record FleetPlan(Map<FailureDomainId, Counts> byDomain, boolean complete) {
    /** Copies the map, in the order of the domains. */
    public FleetPlan {
        byDomain = Map.copyOf(byDomain);
    }

    /**
     * The number of engines of each kind.
     *
     * @param lasting engines that stay until released
     * @param reclaimable engines that the platform may take back on short notice
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
     * Returns the number of engines in all failure domains.
     *
     * @return the number of engines
     */
    public int total() {
        return byDomain.values().stream().mapToInt(Counts::total).sum();
    }

    /**
     * Returns the counts in the order of the failure domains.
     *
     * @return the counts
     */
    public Map<FailureDomainId, Counts> sorted() {
        return new TreeMap<>(byDomain);
    }
}
