package org.cactusshift.internal.coordination.roles;

import java.util.List;
import org.cactusshift.config.UpstreamConfig;

/**
 * The number of engines in each role.
 *
 * @param prefillEngines the engines that only prefill
 * @param decodeEngines the engines that only decode
 * @param mixedEngines the engines that do both
 */
record RoleSplit(int prefillEngines, int decodeEngines, int mixedEngines) {
    /** The share of an engine's throughput that is planned for; demand beyond it counts as unserved. */
    private static final double USABLE_ENGINE_SHARE = 0.9;

    /**
     * The loss where prefill and decode share an engine, in engines, is this factor times {@code p * d / (p + d)} for
     * the prefill work p and the decode work d beyond what the engines with a single role are planned for. For a given
     * sum of both it is highest when they are equal.
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

    int engineCount() {
        return prefillEngines + decodeEngines + mixedEngines;
    }

    /** Returns the split after one engine changed its role. */
    RoleSplit withRoleChange(UpstreamConfig.Role from, UpstreamConfig.Role to) {
        return new RoleSplit(
                prefillEngines + countChange(UpstreamConfig.Role.PREFILL, from, to),
                decodeEngines + countChange(UpstreamConfig.Role.DECODE, from, to),
                mixedEngines + countChange(UpstreamConfig.Role.MIXED, from, to));
    }

    private static int countChange(UpstreamConfig.Role role, UpstreamConfig.Role from, UpstreamConfig.Role to) {
        return (role == to ? 1 : 0) - (role == from ? 1 : 0);
    }

    /**
     * Returns the work that is lost under a demand, in engines at full throughput: the demand that can't be served,
     * plus the slow-down where prefill and decode share an engine.
     */
    double lostWorkInEngines(TokenDemand demand, EngineRates rates) {
        double prefillWork = demand.promptTokensPerSecond() / rates.prefillTokensPerSecond();
        double decodeWork = demand.outputTokensPerSecond() / rates.decodeTokensPerSecond();
        double excessPrefill = Math.max(0, prefillWork - prefillEngines * USABLE_ENGINE_SHARE);
        double excessDecode = Math.max(0, decodeWork - decodeEngines * USABLE_ENGINE_SHARE);
        if (mixedEngines == 0 && (prefillEngines == 0 || decodeEngines == 0)) {
            return MISSING_ROLE_LOSS_FACTOR * (prefillWork + decodeWork);
        }
        double unserved = Math.max(0, excessPrefill + excessDecode - mixedEngines * USABLE_ENGINE_SHARE);
        double excess = excessPrefill + excessDecode;
        double slowdown = excess > 0 ? MIXED_ENGINE_LOSS_FACTOR * excessPrefill * excessDecode / excess : 0;
        return unserved + slowdown;
    }

    /** Returns the share of the engines that the demand needs at full throughput, 0 to 1. */
    double utilization(TokenDemand demand, EngineRates rates) {
        double work = demand.promptTokensPerSecond() / rates.prefillTokensPerSecond()
                + demand.outputTokensPerSecond() / rates.decodeTokensPerSecond();
        return Math.min(1, work / Math.max(1, engineCount()));
    }
}
