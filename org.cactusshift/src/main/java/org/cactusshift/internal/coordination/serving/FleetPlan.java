package org.cactusshift.internal.coordination.serving;

import java.util.Map;
import java.util.TreeMap;
import org.cactusshift.id.FailureDomainId;

/**
 * How many engines of a service are wanted.
 *
 * @param byDomain the counts by failure domain
 * @param complete whether the operator's whole fleet was known; until then the plan grows and nothing is released
 */
public record FleetPlan(Map<FailureDomainId, Counts> byDomain, boolean complete) {
    /** Copies the map, in the order of the domains. */
    public FleetPlan {
        byDomain = Map.copyOf(byDomain);
    }

    /**
     * Engines by kind.
     *
     * @param lasting engines that stay until released
     * @param reclaimable engines that may be taken away on short notice
     */
    public record Counts(int lasting, int reclaimable) {
        /** No engines. */
        public static final Counts NONE = new Counts(0, 0);

        /**
         * Returns these engines and some more.
         *
         * @param moreLasting further lasting engines
         * @param moreReclaimable further reclaimable engines
         * @return the sum
         */
        public Counts plus(int moreLasting, int moreReclaimable) {
            return new Counts(lasting + moreLasting, reclaimable + moreReclaimable);
        }

        /**
         * Returns all engines.
         *
         * @return the number of engines
         */
        public int total() {
            return lasting + reclaimable;
        }
    }

    /**
     * Returns all engines of the plan.
     *
     * @return the number of engines
     */
    public int total() {
        return byDomain.values().stream().mapToInt(Counts::total).sum();
    }

    /**
     * Returns the counts of the entries, in the order of the domains.
     *
     * @return the counts
     */
    public Map<FailureDomainId, Counts> sorted() {
        return new TreeMap<>(byDomain);
    }
}
