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
 * Gives each suspect an upstream to itself: sets one aside, waits until this node has nothing else there, then hands it
 * over.
 *
 * <p>Never the last upstream that works, and one attempt for each fingerprint at a time. Nodes tell each other their
 * suspects; after a pause in which that settles, the rank of a fingerprint among all suspects names its upstream, so
 * that suspects of different nodes don't meet.
 */
final class SuspectScheduler {
    private static final long SETTLING_MILLIS = 1_500;
    private static final long LONGEST_WAIT_MILLIS = 3_000;

    private final Quarantine quarantine;
    private final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();
    private final Map<UpstreamId, PendingRequest> reserved = new HashMap<>();
    private Set<UpstreamId> reservedIds = Set.of();

    SuspectScheduler(Quarantine quarantine) {
        this.quarantine = quarantine;
    }

    void add(PendingRequest pending, long nowMillis) {
        pending.suspectSinceMillis = Math.min(pending.suspectSinceMillis, nowMillis);
        waiting.addLast(pending);
    }

    /**
     * Tells whether a suspect has waited long enough for a second upstream that works. One that crashed is back within
     * seconds or not soon, and the caller is better told when to come again than held.
     */
    boolean hasWaitTimedOut(PendingRequest pending, FleetView fleet, long nowMillis) {
        long working = fleet.upstreams().stream()
                .filter(state -> isUp(state, nowMillis))
                .count();
        return nowMillis - pending.suspectSinceMillis >= LONGEST_WAIT_MILLIS && working < 2;
    }

    /** Returns the suspects that wait, reserved or not. */
    List<PendingRequest> waiting() {
        return List.copyOf(waiting);
    }

    int size() {
        return waiting.size();
    }

    /** Returns the upstreams that take no other request of this node. */
    Set<UpstreamId> reservedIds() {
        return reservedIds;
    }

    /** Removes a suspect that is no longer wanted, or no longer suspect. */
    void remove(PendingRequest pending) {
        waiting.remove(pending);
        reserved.values().removeIf(holder -> holder == pending);
        reservedIds = Set.copyOf(reserved.keySet());
    }

    /** Frees the upstream of a suspect whose attempt ended. */
    void release(UpstreamId upstream) {
        reserved.remove(upstream);
        reservedIds = Set.copyOf(reserved.keySet());
    }

    /** Returns the upstream that a suspect may be sent to now; it stays reserved until released. */
    Optional<UpstreamState> tryStart(PendingRequest pending, FleetView fleet, long nowMillis) {
        Optional<UpstreamState> upstream = reservation(pending, fleet, nowMillis);
        if (upstream.isEmpty() || upstream.get().inFlight() > 0) {
            return Optional.empty();
        }
        waiting.remove(pending);
        return upstream;
    }

    private Optional<UpstreamState> reservation(PendingRequest pending, FleetView fleet, long nowMillis) {
        List<UpstreamState> safe = safeUpstreams(fleet, nowMillis);
        Optional<UpstreamId> held = reserved.entrySet().stream()
                .filter(entry -> entry.getValue() == pending)
                .map(Map.Entry::getKey)
                .findFirst();
        if (held.isEmpty()) {
            return reserve(pending, safe, nowMillis);
        }
        Optional<UpstreamState> upstream =
                safe.stream().filter(state -> state.id().equals(held.get())).findFirst();
        if (upstream.isEmpty()) {
            // Another node may have tried the same fingerprint there; its report is due first.
            pending.suspectNotBeforeMillis = nowMillis + SETTLING_MILLIS;
            release(held.get());
        }
        return upstream;
    }

    /** Returns the upstreams whose loss would leave another one that works. */
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
        boolean settled = nowMillis >= pending.suspectNotBeforeMillis
                && quarantine.millisSinceLocalCrash(fingerprint, nowMillis) >= SETTLING_MILLIS;
        if (!settled || rank < 0 || rank >= safe.size() || isRunning(pending)) {
            return Optional.empty();
        }
        Optional<UpstreamState> chosen = safe.stream()
                .filter(state -> pending.request.repeatable() || !state.config().reclaimable())
                .sorted(Comparator.<UpstreamState>comparingInt(state -> isUp(state, nowMillis) ? 0 : 1)
                        .thenComparing(UpstreamState::id))
                .skip(rank)
                .findFirst()
                .filter(state -> !reserved.containsKey(state.id()));
        chosen.ifPresent(state -> {
            reserved.put(state.id(), pending);
            reservedIds = Set.copyOf(reserved.keySet());
        });
        return chosen;
    }

    private boolean isRunning(PendingRequest pending) {
        return reserved.values().stream()
                .anyMatch(holder -> holder.request.fingerprint() == pending.request.fingerprint());
    }

    private static boolean isUp(UpstreamState state, long nowMillis) {
        return state.health().state(nowMillis) == UpstreamHealth.State.UP;
    }
}
