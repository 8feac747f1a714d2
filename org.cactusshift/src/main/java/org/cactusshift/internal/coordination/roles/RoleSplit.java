package org.cactusshift.internal.coordination.roles;

import java.util.List;
import org.cactusshift.config.UpstreamConfig;

/**
 * The number of engines in each role.
 *
 * @param prefill the engines that only prefill
 * @param decode the engines that only decode
 * @param mixed the engines that do both
 */
record RoleSplit(int prefill, int decode, int mixed) {
    /** The share of an engine's throughput that can be used. */
    private static final double USABLE_ENGINE_SHARE = 0.9;

    /**
     * The loss where prefill and decode share an engine, as a factor of {@code p * d / (p + d)} for the prefill work p
     * and the decode work d that the mixed engines take over.
     */
    private static final double MIXED_ENGINE_LOSS_FACTOR = 0.05;

    /** The loss, as a multiple of all work, when no engine prefills or none decodes, so that nothing can be served. */
    private static final double MISSING_ROLE_LOSS_FACTOR = 2;

    static RoleSplit of(List<EngineInRole> engines) {
        return new RoleSplit(
                count(engines, UpstreamConfig.Role.PREFILL),
                count(engines, UpstreamConfig.Role.DECODE),
                count(engines, UpstreamConfig.Role.MIXED));
    }

    private static int count(List<EngineInRole> engines, UpstreamConfig.Role role) {
        return (int) engines.stream().filter(engine -> engine.role() == role).count();
    }

    int engines() {
        return prefill + decode + mixed;
    }

    RoleSplit move(UpstreamConfig.Role from, UpstreamConfig.Role to) {
        return new RoleSplit(
                prefill + countChange(UpstreamConfig.Role.PREFILL, from, to),
                decode + countChange(UpstreamConfig.Role.DECODE, from, to),
                mixed + countChange(UpstreamConfig.Role.MIXED, from, to));
    }

    private static int countChange(UpstreamConfig.Role role, UpstreamConfig.Role from, UpstreamConfig.Role to) {
        return (role == to ? 1 : 0) - (role == from ? 1 : 0);
    }

    /**
     * Returns the work that is lost under a demand, in engines: the demand that can't be served, plus the slow-down
     * where prefill and decode share an engine.
     */
    double lostWorkInEngines(TokenDemand demand, EngineRates rates) {
        double prefillWork = demand.promptTokensPerSecond() / rates.prefillTokensPerSecond();
        double decodeWork = demand.outputTokensPerSecond() / rates.decodeTokensPerSecond();
        double excessPrefill = Math.max(0, prefillWork - prefill * USABLE_ENGINE_SHARE);
        double excessDecode = Math.max(0, decodeWork - decode * USABLE_ENGINE_SHARE);
        if (mixed == 0 && (prefill == 0 || decode == 0)) {
            return MISSING_ROLE_LOSS_FACTOR * (prefillWork + decodeWork);
        }
        double unserved = Math.max(0, excessPrefill + excessDecode - mixed * USABLE_ENGINE_SHARE);
        double excess = excessPrefill + excessDecode;
        double slowdown = excess > 0 ? MIXED_ENGINE_LOSS_FACTOR * excessPrefill * excessDecode / excess : 0;
        return unserved + slowdown;
    }

    /** Returns the share of the engines that the demand needs, 0 to 1. */
    double usedShare(TokenDemand demand, EngineRates rates) {
        double work = demand.promptTokensPerSecond() / rates.prefillTokensPerSecond()
                + demand.outputTokensPerSecond() / rates.decodeTokensPerSecond();
        return Math.min(1, work / Math.max(1, engines()));
    }
}
