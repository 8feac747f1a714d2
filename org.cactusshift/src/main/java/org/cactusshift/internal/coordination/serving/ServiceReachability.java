package org.cactusshift.internal.coordination.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;

/**
 * Decides for each service whether this node has lost its links to the upstreams: connections to several upstreams, one
 * after the other, could not be opened, and none was opened meanwhile.
 *
 * <p>Responses on connections that are already open do not count, as such connections may outlive the links on which
 * new ones are refused.
 */
public final class ServiceReachability {
    /** The number of different upstreams that must have failed; all of a service that has fewer. */
    private static final int MINIMUM_FAILED_UPSTREAMS = 4;

    /** Failures that are longer apart say nothing about a link, as long as it is not taken for lost. */
    private static final long FAILURE_VALID_MILLIS = 3_000;

    /** The interval between the connections by which an unreachable service is probed. */
    private static final long PROBE_INTERVAL_MILLIS = 500;

    private final Function<ServiceId, Set<UpstreamId>> upstreams;
    private final Map<ServiceId, State> stateByService = new HashMap<>();

    private static final class State {
        /** When the upstreams failed that did so since a connection was last opened. */
        final Map<UpstreamId, Long> failedAtMillis = new HashMap<>();

        boolean unreachable;
        long nextProbeMillis;
    }

    private ServiceReachability(Function<ServiceId, Set<UpstreamId>> upstreams) {
        this.upstreams = upstreams;
    }

    /**
     * Returns a view in which all services are reachable.
     *
     * @param upstreams returns the upstreams of a service that accept requests
     * @return the view
     */
    public static ServiceReachability create(Function<ServiceId, Set<UpstreamId>> upstreams) {
        return new ServiceReachability(upstreams);
    }

    private boolean isEnough(ServiceId service, State state) {
        if (state.failedAtMillis.size() >= MINIMUM_FAILED_UPSTREAMS) {
            return true;
        }
        Set<UpstreamId> listed = upstreams.apply(service);
        return !listed.isEmpty() && state.failedAtMillis.keySet().containsAll(listed);
    }

    /**
     * Records that a connection to an upstream was opened.
     *
     * @param service the service of the upstream
     * @return whether the service was unreachable until now
     */
    public boolean onConnected(ServiceId service) {
        State state = stateByService.remove(service);
        return state != null && state.unreachable;
    }

    /**
     * Records that a connection to an upstream could not be opened.
     *
     * @param service the service of the upstream
     * @param upstream the upstream
     * @param nowMillis the current time
     * @return whether the service is unreachable from now on
     */
    public boolean onConnectFailed(ServiceId service, UpstreamId upstream, long nowMillis) {
        State state = stateByService.computeIfAbsent(service, id -> new State());
        if (!state.unreachable) {
            state.failedAtMillis.values().removeIf(failedAt -> nowMillis - failedAt > FAILURE_VALID_MILLIS);
        }
        state.failedAtMillis.put(upstream, nowMillis);
        boolean becomes = !state.unreachable && isEnough(service, state);
        if (becomes) {
            state.unreachable = true;
            state.nextProbeMillis = nowMillis + PROBE_INTERVAL_MILLIS;
        }
        return becomes;
    }

    /**
     * Returns whether more failures are needed to tell a lost link from a lost upstream.
     *
     * @param service the service
     * @param upstream an upstream of the service
     * @return whether several upstreams failed, but not enough, and this one has not
     */
    public boolean needsEvidence(ServiceId service, UpstreamId upstream) {
        State state = stateByService.get(service);
        return state != null
                && !state.unreachable
                && state.failedAtMillis.size() >= MINIMUM_FAILED_UPSTREAMS / 2
                && !state.failedAtMillis.containsKey(upstream);
    }

    /**
     * Returns whether this node reaches no upstream of a service, as far as it knows. A service that had few upstreams
     * is reachable again when another one is listed, until that one has failed too.
     *
     * @param service the service
     * @return whether requests should not be sent to upstreams of the service from here
     */
    public boolean isUnreachable(ServiceId service) {
        State state = stateByService.get(service);
        return state != null && state.unreachable && isEnough(service, state);
    }

    /**
     * Returns whether so many upstreams of a service cannot be reached that the links of this node must be the cause.
     *
     * @return whether upstreams that are down now may be up
     */
    public boolean hasLostLinks() {
        return stateByService.values().stream()
                .anyMatch(state -> state.unreachable && state.failedAtMillis.size() >= MINIMUM_FAILED_UPSTREAMS);
    }

    /**
     * Returns the services that are to be probed now by one connection each, and schedules their next probes.
     *
     * @param nowMillis the current time
     * @return the services
     */
    public Set<ServiceId> takeDueProbes(long nowMillis) {
        Set<ServiceId> due = new HashSet<>();
        stateByService.forEach((service, state) -> {
            if (state.unreachable && nowMillis >= state.nextProbeMillis) {
                state.nextProbeMillis = nowMillis + PROBE_INTERVAL_MILLIS;
                due.add(service);
            }
        });
        return due;
    }

    /**
     * Returns the services that this node does not reach.
     *
     * @return the services
     */
    public Set<ServiceId> unreachableServices() {
        return stateByService.keySet().stream().filter(this::isUnreachable).collect(Collectors.toSet());
    }
}
