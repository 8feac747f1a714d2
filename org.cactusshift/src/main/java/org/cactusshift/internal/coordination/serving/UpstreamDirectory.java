package org.cactusshift.internal.coordination.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.UpstreamIncarnation;

/**
 * The registered upstreams, according to the entries that they maintain in the platform's store.
 *
 * <p>An upstream that was leaving accepts no new requests again in the same incarnation. An upstream whose entry
 * disappeared while the store was unavailable is retained for a short grace period, because such an entry is written
 * again if the upstream is alive.
 *
 * <p>An upstream that has left is remembered, as a store that was restored from a copy may list it again. One that was
 * leaving stays so; one whose entry was removed is listed only if its entry outlasts the time after which the platform
 * removes the entry of a silent upstream.
 */
public final class UpstreamDirectory {
    /** How long an upstream that has left is remembered: longer than it goes on serving. */
    private static final long DEPARTURE_RETENTION_MILLIS = 60_000;

    /** Longer than the three reports of a silent upstream that the platform waits for before it removes its entry. */
    private static final long RESTORED_ENTRY_HOLD_MILLIS = 5_000;

    private final Map<UpstreamId, Upstream> upstreamById = new HashMap<>();
    private final Map<UpstreamId, Long> graceEndMillisById = new HashMap<>();
    private final Map<UpstreamIncarnation, Departure> departureByIncarnation = new HashMap<>();

    /** Entries of a restored store that are not listed yet. */
    private final Map<UpstreamId, HeldEntry> heldEntryById = new HashMap<>();

    /**
     * How an upstream left.
     *
     * @param entry its last entry
     * @param wasLeaving whether it was known to be leaving before its entry was removed
     * @param atMillis when its entry was removed
     */
    private record Departure(UpstreamEntry entry, boolean wasLeaving, long atMillis) {}

    private record HeldEntry(UpstreamEntry entry, long untilMillis) {}

    private final ToLongFunction<ServiceId> kvCapacityTokens;
    private final long graceMillis;

    private UpstreamDirectory(ToLongFunction<ServiceId> kvCapacityTokens, long graceMillis) {
        this.kvCapacityTokens = kvCapacityTokens;
        this.graceMillis = graceMillis;
    }

    /**
     * Returns an empty directory.
     *
     * @param kvCapacityTokens the KV-cache capacity of an engine of a service, in tokens
     * @param graceMillis how long an upstream is retained whose entry disappeared while the store was unavailable
     * @return the directory
     */
    public static UpstreamDirectory create(ToLongFunction<ServiceId> kvCapacityTokens, long graceMillis) {
        return new UpstreamDirectory(kvCapacityTokens, graceMillis);
    }

    /**
     * Adds or updates an upstream from its entry.
     *
     * @param entry the entry
     * @return the upstream if it is new or has a new incarnation, otherwise empty
     */
    public Optional<Upstream> put(UpstreamEntry entry) {
        graceEndMillisById.remove(entry.id());
        HeldEntry held = heldEntryById.get(entry.id());
        if (held != null && isSameIncarnation(held.entry(), entry)) {
            heldEntryById.put(entry.id(), new HeldEntry(entry, held.untilMillis()));
            return Optional.empty();
        }
        heldEntryById.remove(entry.id());
        Upstream known = upstreamById.get(entry.id());
        if (known != null && isSameIncarnation(known.entry(), entry)) {
            known.update(entry);
            return Optional.empty();
        }
        if (known != null) {
            known.markLeaving();
        }
        Upstream fresh = new Upstream(entry, kvCapacityTokens.applyAsLong(entry.service()));
        if (departure(entry).filter(Departure::wasLeaving).isPresent()) {
            fresh.markLeaving();
        }
        upstreamById.put(entry.id(), fresh);
        return Optional.of(fresh);
    }

    /** Returns how this incarnation of an upstream left, empty if it is not known to have left. */
    private Optional<Departure> departure(UpstreamEntry entry) {
        UpstreamIncarnation incarnation = new UpstreamIncarnation(entry.id(), entry.startedAtEpochMillis());
        return Optional.ofNullable(departureByIncarnation.get(incarnation))
                .filter(departure -> isSameIncarnation(departure.entry(), entry));
    }

    private static boolean isSameIncarnation(UpstreamEntry known, UpstreamEntry entry) {
        return known.startedAtEpochMillis() == entry.startedAtEpochMillis()
                && known.address().equals(entry.address())
                && known.softwareVersion().equals(entry.softwareVersion())
                && known.service().equals(entry.service());
    }

    /**
     * Removes an upstream whose entry disappeared, immediately or after the grace period.
     *
     * @param id the upstream
     * @param storeWasUnavailable whether the store was recently unavailable, so that the entry may have expired
     *     although the upstream is alive
     * @param nowMillis the current time
     */
    public void remove(UpstreamId id, boolean storeWasUnavailable, long nowMillis) {
        heldEntryById.remove(id);
        if (!upstreamById.containsKey(id)) {
            return;
        }
        if (storeWasUnavailable) {
            graceEndMillisById.putIfAbsent(id, nowMillis + graceMillis);
        } else {
            removeNow(id, nowMillis);
        }
    }

    /**
     * Applies the complete list of a store that was restored from a copy: an entry that was removed before is held back
     * for a while, and an upstream that is not in the list is retained for the grace period.
     *
     * @param entries the entries
     * @param nowMillis the current time
     */
    public void replaceAllAfterRestore(Collection<UpstreamEntry> entries, long nowMillis) {
        Map<Boolean, List<UpstreamEntry>> byRemoval = entries.stream()
                .collect(Collectors.partitioningBy(
                        entry -> departure(entry).isPresent() && !upstreamById.containsKey(entry.id())));
        replaceAll(byRemoval.get(false), true, nowMillis);
        for (UpstreamEntry removed : byRemoval.get(true)) {
            heldEntryById.put(removed.id(), new HeldEntry(removed, nowMillis + RESTORED_ENTRY_HOLD_MILLIS));
        }
    }

    /**
     * Applies a complete list of entries; upstreams that are not in it are removed as by {@link #remove}.
     *
     * @param entries the entries
     * @param storeWasUnavailable whether the store was recently unavailable
     * @param nowMillis the current time
     */
    public void replaceAll(Collection<UpstreamEntry> entries, boolean storeWasUnavailable, long nowMillis) {
        Set<UpstreamId> listed = new HashSet<>();
        for (UpstreamEntry entry : entries) {
            listed.add(entry.id());
            put(entry);
        }
        heldEntryById.keySet().retainAll(listed);
        for (UpstreamId id : List.copyOf(upstreamById.keySet())) {
            if (!listed.contains(id)) {
                remove(id, storeWasUnavailable, nowMillis);
            }
        }
    }

    /**
     * Removes the upstreams whose grace period has ended.
     *
     * @param nowMillis the current time
     */
    public void expire(long nowMillis) {
        graceEndMillisById.entrySet().removeIf(graceEnd -> {
            boolean isOver = nowMillis >= graceEnd.getValue();
            if (isOver) {
                removeAndMarkLeaving(graceEnd.getKey(), nowMillis);
            }
            return isOver;
        });
        departureByIncarnation
                .values()
                .removeIf(departure -> nowMillis - departure.atMillis() > DEPARTURE_RETENTION_MILLIS);
        for (HeldEntry held : List.copyOf(heldEntryById.values())) {
            if (nowMillis >= held.untilMillis()) {
                heldEntryById.remove(held.entry().id());
                put(held.entry());
            }
        }
    }

    private void removeNow(UpstreamId id, long nowMillis) {
        graceEndMillisById.remove(id);
        removeAndMarkLeaving(id, nowMillis);
    }

    private void removeAndMarkLeaving(UpstreamId id, long nowMillis) {
        Upstream removed = upstreamById.remove(id);
        if (removed != null) {
            departureByIncarnation.put(
                    removed.incarnation(), new Departure(removed.entry(), removed.isLeaving(), nowMillis));
            removed.markLeaving();
        }
    }

    /**
     * Looks up an upstream.
     *
     * @param id the upstream
     * @return the upstream, empty when it is not listed
     */
    public Optional<Upstream> find(UpstreamId id) {
        return Optional.ofNullable(upstreamById.get(id));
    }

    /**
     * Returns whether an upstream is listed with an entry, so that the entry brings nothing new.
     *
     * @param entry the entry
     * @return whether it is the one that is known, and will not expire
     */
    public boolean isListedAs(UpstreamEntry entry) {
        HeldEntry held = heldEntryById.get(entry.id());
        if (held != null) {
            return held.entry().equals(entry);
        }
        Upstream known = upstreamById.get(entry.id());
        return known != null
                && !graceEndMillisById.containsKey(entry.id())
                && known.entry().equals(entry);
    }

    /**
     * Returns the upstreams of a service that accept new requests.
     *
     * @param service the service
     * @return the upstreams, in no order
     */
    public List<Upstream> acceptingWork(ServiceId service) {
        List<Upstream> accepting = new ArrayList<>();
        for (Upstream upstream : upstreamById.values()) {
            if (!upstream.isLeaving() && upstream.entry().service().equals(service)) {
                accepting.add(upstream);
            }
        }
        return accepting;
    }

    /**
     * Returns all upstreams of a service, including those that accept no new requests.
     *
     * @param service the service
     * @return the upstreams, in no order
     */
    public List<Upstream> listed(ServiceId service) {
        List<Upstream> listed = new ArrayList<>(upstreamById.values());
        listed.removeIf(upstream -> !upstream.entry().service().equals(service));
        return listed;
    }

    /**
     * Returns all upstreams of all services.
     *
     * @return a live view of the upstreams, in no order; it must not be modified
     */
    public Collection<Upstream> all() {
        return upstreamById.values();
    }

    /**
     * Returns the software versions that upstreams have, leaving ones included.
     *
     * @return the versions by service
     */
    public Map<ServiceId, Set<SoftwareVersion>> versions() {
        Map<ServiceId, Set<SoftwareVersion>> versions = new HashMap<>();
        for (Upstream upstream : upstreamById.values()) {
            versions.computeIfAbsent(upstream.entry().service(), service -> new HashSet<>())
                    .add(upstream.entry().softwareVersion());
        }
        return versions;
    }

    /**
     * Returns whether an upstream is listed in an incarnation.
     *
     * @param incarnation the incarnation
     * @return whether it is listed, leaving or not
     */
    public boolean lists(UpstreamIncarnation incarnation) {
        Upstream upstream = upstreamById.get(incarnation.upstream());
        return upstream != null && upstream.incarnation().equals(incarnation);
    }

    /**
     * Sets the changes of stage that are announced.
     *
     * @param changes the changes; an engine that is not contained keeps its stage
     * @param nowMillis the current time
     */
    public void announceStages(StageChanges changes, long nowMillis) {
        for (Upstream upstream : upstreamById.values()) {
            upstream.announceStage(Optional.ofNullable(changes.stageByEngine().get(upstream.incarnation())), nowMillis);
        }
    }

    /**
     * Sets the open requests of other nodes at the upstreams.
     *
     * @param work the open requests by upstream; an upstream that is not contained has none
     */
    public void setRemoteWork(Map<UpstreamId, OpenWork> work) {
        upstreamById.forEach((id, upstream) -> upstream.setRemoteWork(work.getOrDefault(id, OpenWork.NONE)));
    }
}
