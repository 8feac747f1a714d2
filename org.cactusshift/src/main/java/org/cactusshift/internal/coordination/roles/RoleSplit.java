package org.cactusshift.internal.coordination.roles;

import java.util.List;
import org.cactusshift.config.UpstreamConfig;

/**
 * How many engines are in each role.
 *
 * @param prefill engines that process prompts
 * @param decode engines that generate tokens
 * @param mixed engines that do both
 */
record RoleSplit(int prefill, int decode, int mixed) {
    private static final double USABLE_SHARE = 0.9;
    private static final double MIXING_LOSS = 0.05;
    private static final double LONE_ROLE_LOSS = 2;

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
                prefill + delta(UpstreamConfig.Role.PREFILL, from, to),
                decode + delta(UpstreamConfig.Role.DECODE, from, to),
                mixed + delta(UpstreamConfig.Role.MIXED, from, to));
    }

    private static int delta(UpstreamConfig.Role role, UpstreamConfig.Role from, UpstreamConfig.Role to) {
        return (role == to ? 1 : 0) - (role == from ? 1 : 0);
    }

    /**
     * Returns the work that is lost under a demand, in engines: what can't be served, and what is slowed where prompts
     * and outputs share an engine.
     */
    double lostEngines(TokenDemand demand, EngineRates rates) {
        double prefillWork = demand.promptTokensPerSecond() / rates.prefillTokensPerSecond();
        double decodeWork = demand.outputTokensPerSecond() / rates.decodeTokensPerSecond();
        double prefillLeft = Math.max(0, prefillWork - prefill * USABLE_SHARE);
        double decodeLeft = Math.max(0, decodeWork - decode * USABLE_SHARE);
        if (mixed == 0 && (prefill == 0 || decode == 0)) {
            return LONE_ROLE_LOSS * (prefillWork + decodeWork);
        }
        double unserved = Math.max(0, prefillLeft + decodeLeft - mixed * USABLE_SHARE);
        double shared = prefillLeft + decodeLeft;
        double slowed = shared > 0 ? MIXING_LOSS * prefillLeft * decodeLeft / shared : 0;
        return unserved + slowed;
    }

    /** Returns the share of the fleet that the demand needs, 0 to 1. */
    double usedShare(TokenDemand demand, EngineRates rates) {
        double work = demand.promptTokensPerSecond() / rates.prefillTokensPerSecond()
                + demand.outputTokensPerSecond() / rates.decodeTokensPerSecond();
        return Math.min(1, work / Math.max(1, engines()));
    }
}
