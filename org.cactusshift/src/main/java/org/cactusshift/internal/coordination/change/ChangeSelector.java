package org.cactusshift.internal.coordination.change;

import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.order.OrderContent;

/**
 * Selects the next engine of a service to change, by comparing the configuration with the reported state of the
 * engines.
 */
public final class ChangeSelector {
    private ChangeSelector() {}

    /**
     * Returns the change that brings an engine to its declared state.
     *
     * @param report the engine and its reported state
     * @param activeVersion the active version of the service
     * @return the change; a change of the version takes precedence over a change of the role; empty when the engine is
     *     in its declared state, is declared as draining or can't be reached
     */
    public static Optional<RequiredChange> requiredChange(EngineReport report, String activeVersion) {
        UpstreamConfig engine = report.engine();
        if (report.status().isEmpty() || engine.draining()) {
            return Optional.empty();
        }
        List<OrderContent> declared =
                List.of(new OrderContent.LoadVersion(activeVersion), new OrderContent.SetRole(engine.role()));
        return declared.stream()
                .filter(content -> !isFulfilled(content, report.status().get()))
                .findFirst()
                .map(content -> new RequiredChange(engine, content));
    }

    /**
     * Returns the next change of a failure domain.
     *
     * @param failureDomain the failure domain
     * @param activeVersion the active version of the service
     * @param fleet all engines of the service, in all failure domains
     * @param postponementByEngine the postponed changes, by engine
     * @param nowMillis the current monotonic time
     * @return the change; empty when no engine of the failure domain both needs a change that is due and can be
     *     taken out of service, and while any engine of the service changes
     */
    public static Optional<RequiredChange> nextChange(
            FailureDomainId failureDomain,
            String activeVersion,
            Collection<EngineReport> fleet,
            Map<UpstreamId, Postponement> postponementByEngine,
            long nowMillis) {
        return fleet.stream()
                .filter(report -> report.engine().failureDomain().equals(failureDomain))
                .filter(report -> isDue(postponementByEngine.get(report.engine().id()), nowMillis))
                .filter(report -> canBeTakenOutOfService(report.engine().id(), fleet))
                .map(report -> requiredChange(report, activeVersion))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static boolean isDue(Postponement postponement, long nowMillis) {
        return postponement == null || postponement.notBeforeMillis() <= nowMillis;
    }

    /**
     * Returns whether an engine can be taken out of service.
     *
     * @param engine the engine
     * @param fleet all engines of the service, in all failure domains
     * @return false while any engine of the service changes, and when the other serving engines do not cover both
     *     prefill and decode
     */
    public static boolean canBeTakenOutOfService(UpstreamId engine, Collection<EngineReport> fleet) {
        if (fleet.stream().anyMatch(EngineReport::isChanging)) {
            return false;
        }
        Set<UpstreamConfig.Role> remainingRoles = EnumSet.noneOf(UpstreamConfig.Role.class);
        fleet.stream()
                .filter(EngineReport::isServing)
                .filter(report -> !report.engine().id().equals(engine))
                .forEach(report -> remainingRoles.add(report.status().get().role()));
        return remainingRoles.contains(UpstreamConfig.Role.MIXED)
                || remainingRoles.containsAll(EnumSet.of(UpstreamConfig.Role.PREFILL, UpstreamConfig.Role.DECODE));
    }

    static boolean isFulfilled(OrderContent content, EngineStatus status) {
        if (content instanceof OrderContent.LoadVersion load) {
            return status.version().equals(load.version());
        }
        if (content instanceof OrderContent.SetRole set) {
            return status.role() == set.role();
        }
        // For other orders an engine reports only the result; they are never planned changes.
        return true;
    }
}
