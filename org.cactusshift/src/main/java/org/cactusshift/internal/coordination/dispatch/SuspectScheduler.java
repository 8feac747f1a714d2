package org.cactusshift.internal.coordination.dispatch;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.quarantine.Quarantine;
import org.cactusshift.internal.coordination.routing.FleetView;
import org.cactusshift.internal.coordination.routing.UpstreamHealth;
import org.cactusshift.internal.coordination.routing.UpstreamState;

/**
 * Runs each suspect on an upstream of its own. A suspect is a request whose fingerprint was in flight on one upstream
 * as it crashed. The scheduler reserves an upstream, waits until this node has no open attempt there, and then hands
 * the suspect over for dispatch.
 *
 * <p>An upstream is reserved only if another one is up ({@link UpstreamHealth.State#UP}) and accepts requests. A node
 * reserves at most one upstream at a time for a fingerprint. Nodes exchange their suspects; after a delay that allows
 * for this exchange, the rank of a fingerprint among all suspects determines its upstream, so that two fingerprints
 * don't share one. At different nodes they still may when only one of the requests is repeatable, since the other must
 * not run on reclaimable upstreams, or when the nodes differ in their view of the upstreams or the suspects.
 */
final class SuspectScheduler {
    /** Time for which nodes exchange a new suspect before an upstream is reserved for it. */
    private static final long SUSPECT_EXCHANGE_MILLIS = 1_500;

    /** The maximum wait of a suspect while fewer than two upstreams are up. */
    private static final long SECOND_UPSTREAM_WAIT_MILLIS = 3_000;

    private final Quarantine quarantine;
    private final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();
    private final Map<UpstreamId, PendingRequest> suspectByReservedUpstream = new HashMap<>();
    private Set<UpstreamId> reservedIds = Set.of();

    SuspectScheduler(Quarantine quarantine) {
        this.quarantine = quarantine;
    }

    void add(PendingRequest pending, long nowMillis) {
        pending.suspectSinceMillis = Math.min(pending.suspectSinceMillis, nowMillis);
        waiting.addLast(pending);
    }

    /**
     * Returns whether the wait of a suspect for a second upstream that is up has timed out. A crashed upstream is back
     * within seconds or stays down for long, so it is better to refuse the request with a time to retry than to hold
     * it.
     */
    boolean hasWaitTimedOut(PendingRequest pending, FleetView fleet, long nowMillis) {
        long upCount = fleet.upstreams().stream()
                .filter(state -> isUp(state, nowMillis))
                .count();
        return nowMillis - pending.suspectSinceMillis >= SECOND_UPSTREAM_WAIT_MILLIS && upCount < 2;
    }

    /** Returns the waiting suspects, with or without a reserved upstream. */
    List<PendingRequest> waiting() {
        return List.copyOf(waiting);
    }

    int size() {
        return waiting.size();
    }

    /** Returns the upstreams that are reserved for a suspect and receive no other request of this node. */
    Set<UpstreamId> reservedIds() {
        return reservedIds;
    }

    /** Removes a suspect that was refused, cancelled or cleared, and its reservation. */
    void remove(PendingRequest pending) {
        waiting.remove(pending);
        suspectByReservedUpstream.values().removeIf(suspect -> suspect == pending);
        reservedIds = Set.copyOf(suspectByReservedUpstream.keySet());
    }

    /** Ends the reservation of the upstream of a suspect whose attempt ended. */
    void releaseReservation(UpstreamId upstream) {
        suspectByReservedUpstream.remove(upstream);
        reservedIds = Set.copyOf(suspectByReservedUpstream.keySet());
    }

    /**
     * Returns the upstream that a suspect may be sent to now, and removes the suspect from the waiting ones; the
     * upstream stays reserved until {@link #releaseReservation}. Empty while no upstream is reserved or this node has
     * open attempts there.
     */
    Optional<UpstreamState> takeReadyUpstream(PendingRequest pending, FleetView fleet, long nowMillis) {
        Optional<UpstreamState> upstream = reservation(pending, fleet, nowMillis);
        if (upstream.isEmpty() || upstream.get().inFlight() > 0) {
            return Optional.empty();
        }
        waiting.remove(pending);
        return upstream;
    }

    private Optional<UpstreamState> reservation(PendingRequest pending, FleetView fleet, long nowMillis) {
        List<UpstreamState> safe = safeUpstreams(fleet, nowMillis);
        Optional<UpstreamId> held = suspectByReservedUpstream.entrySet().stream()
                .filter(entry -> entry.getValue() == pending)
                .map(Map.Entry::getKey)
                .findFirst();
        if (held.isEmpty()) {
            return reserve(pending, safe, nowMillis);
        }
        Optional<UpstreamState> upstream =
                safe.stream().filter(state -> state.id().equals(held.get())).findFirst();
        if (upstream.isEmpty()) {
            // Another node may have sent the same fingerprint there; its crash report must arrive first.
            pending.suspectNotBeforeMillis = nowMillis + SUSPECT_EXCHANGE_MILLIS;
            releaseReservation(held.get());
        }
        return upstream;
    }

    /** Returns the upstreams that accept requests and whose loss would leave at least one of these that is up. */
    private static List<UpstreamState> safeUpstreams(FleetView fleet, long nowMillis) {
        List<UpstreamState> open = fleet.upstreams().stream()
                .filter(state -> state.accepts(true, nowMillis))
                .toList();
        List<UpstreamState> up =
                open.stream().filter(state -> isUp(state, nowMillis)).toList();
        if (up.size() >= 2) {
            return open;
        }
        return up.isEmpty()
                ? List.of()
                : open.stream().filter(state -> state != up.get(0)).toList();
    }

    private Optional<UpstreamState> reserve(PendingRequest pending, List<UpstreamState> safe, long nowMillis) {
        long fingerprint = pending.request.fingerprint();
        int rank = quarantine.activeSuspects(nowMillis).indexOf(fingerprint);
        boolean exchanged = nowMillis >= pending.suspectNotBeforeMillis
                && quarantine.millisSinceLocalCrash(fingerprint, nowMillis) >= SUSPECT_EXCHANGE_MILLIS;
        if (!exchanged || rank < 0 || rank >= safe.size() || hasReservationForFingerprint(pending)) {
            return Optional.empty();
        }
        Optional<UpstreamState> chosen = safe.stream()
                .filter(state -> pending.request.repeatable() || !state.config().reclaimable())
                .sorted(Comparator.<UpstreamState>comparingInt(state -> isUp(state, nowMillis) ? 0 : 1)
                        .thenComparing(UpstreamState::id))
                .skip(rank)
                .findFirst()
                .filter(state -> !suspectByReservedUpstream.containsKey(state.id()));
        chosen.ifPresent(state -> {
            suspectByReservedUpstream.put(state.id(), pending);
            reservedIds = Set.copyOf(suspectByReservedUpstream.keySet());
        });
        return chosen;
    }

    private boolean hasReservationForFingerprint(PendingRequest pending) {
        return suspectByReservedUpstream.values().stream()
                .anyMatch(suspect -> suspect.request.fingerprint() == pending.request.fingerprint());
    }

    private static boolean isUp(UpstreamState state, long nowMillis) {
        return state.health().state(nowMillis) == UpstreamHealth.State.UP;
    }
}
