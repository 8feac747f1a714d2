package org.cactusshift.internal.coordination.routing;

import java.util.Comparator;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Selects the same upstream for prompts with the same first block, by rendezvous hashing; a request without prefix
 * hashes is hashed by its fingerprint.
 */
public final class PrefixHashRouting implements RoutingPolicy {
    private PrefixHashRouting() {}

    /**
     * Returns the policy.
     *
     * @return the policy
     */
    public static PrefixHashRouting create() {
        return new PrefixHashRouting();
    }

    @Override
    public Optional<RoutingDecision> choose(FleetView fleet, RouteQuery query, long nowMillis, RandomGenerator random) {
        long key = query.request().prefixHashes().isEmpty()
                ? query.request().fingerprint()
                : query.request().prefixHashes().get(0);
        return fleet.upstreams().stream()
                .filter(upstream -> query.allows(upstream, nowMillis))
                .max(Comparator.comparingLong(upstream -> score(upstream, key)))
                .map(RoutingDecision::withoutCosts);
    }

    /**
     * Returns the rendezvous score of an upstream for a key.
     *
     * @param upstream the upstream
     * @param key the key
     * @return the score; the highest wins
     */
    public static long score(UpstreamState upstream, long key) {
        long mixed = key ^ (upstream.id().value().hashCode() * 0x9E3779B97F4A7C15L);
        // The finalizer of SplitMix64.
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
