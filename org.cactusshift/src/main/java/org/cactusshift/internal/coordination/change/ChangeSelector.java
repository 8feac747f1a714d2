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

/** Chooses the next engine of a service to change, from what is declared and what the engines say. */
public final class ChangeSelector {
    private ChangeSelector() {}

    /**
     * Returns the change that brings an engine to what is declared.
     *
     * @param report the engine
     * @param activeVersion the version that the engines of the service should have loaded
     * @return the change, the version first; empty when the engine is as declared, leaves or can't be asked
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
     * @param activeVersion the version that the engines of the service should have loaded
     * @param fleet all engines of the service, in every failure domain
     * @param putOff the changes that were put off
     * @param nowMillis the present time, monotonic
     * @return the change; empty while an engine of the service changes, or when none may leave
     */
    public static Optional<RequiredChange> nextChange(
            FailureDomainId failureDomain,
            String activeVersion,
            Collection<EngineReport> fleet,
            Map<UpstreamId, Postponement> putOff,
            long nowMillis) {
        return fleet.stream()
                .filter(report -> report.engine().failureDomain().equals(failureDomain))
                .filter(report -> isDue(putOff.get(report.engine().id()), nowMillis))
                .filter(report -> canBeTakenOutOfService(report.engine().id(), fleet))
                .map(report -> requiredChange(report, activeVersion))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static boolean isDue(Postponement putOff, long nowMillis) {
        return putOff == null || putOff.notBeforeMillis() <= nowMillis;
    }

    /**
     * Tells whether the service can do without an engine.
     *
     * @param engine the engine
     * @param fleet all engines of the service, in every failure domain
     * @return false while an engine changes, and when the others that serve have not all roles of an answer
     */
    public static boolean canBeTakenOutOfService(UpstreamId engine, Collection<EngineReport> fleet) {
        if (fleet.stream().anyMatch(EngineReport::isChanging)) {
            return false;
        }
        Set<UpstreamConfig.Role> left = EnumSet.noneOf(UpstreamConfig.Role.class);
        fleet.stream()
                .filter(EngineReport::isServing)
                .filter(report -> !report.engine().id().equals(engine))
                .forEach(report -> left.add(report.status().get().role()));
        return left.contains(UpstreamConfig.Role.MIXED)
                || left.containsAll(EnumSet.of(UpstreamConfig.Role.PREFILL, UpstreamConfig.Role.DECODE));
    }

    static boolean isFulfilled(OrderContent content, EngineStatus status) {
        if (content instanceof OrderContent.LoadVersion load) {
            return status.version().equals(load.version());
        }
        if (content instanceof OrderContent.SetRole set) {
            return status.role() == set.role();
        }
        // Of other orders an engine only says how they ended; none of them is a planned change.
        return true;
    }
}
