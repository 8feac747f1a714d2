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
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;

/**
 * The upstreams that may take work, from the entries that they keep in the platform's store.
 *
 * <p>An upstream that was seen leaving takes no new work again in that life. One whose entry vanished while the store
 * was away is kept for a short grace, because such entries come back when the upstream lives.
 */
public final class UpstreamDirectory {
    private final Map<UpstreamId, Upstream> upstreams = new HashMap<>();
    private final Map<UpstreamId, Long> missingUntilMillis = new HashMap<>();
    private final ToLongFunction<ServiceId> kvCapacityTokens;
    private final long graceMillis;

    private UpstreamDirectory(ToLongFunction<ServiceId> kvCapacityTokens, long graceMillis) {
        this.kvCapacityTokens = kvCapacityTokens;
        this.graceMillis = graceMillis;
    }

    /**
     * Returns an empty directory.
     *
     * @param kvCapacityTokens the memory of an engine of a service, in tokens
     * @param graceMillis how long an upstream is kept whose entry vanished while the store was away
     * @return the directory
     */
    public static UpstreamDirectory create(ToLongFunction<ServiceId> kvCapacityTokens, long graceMillis) {
        return new UpstreamDirectory(kvCapacityTokens, graceMillis);
    }

    /**
     * Takes an entry as written.
     *
     * @param entry the entry
     * @return the upstream if it is new here, or started anew
     */
    public Optional<Upstream> put(UpstreamEntry entry) {
        missingUntilMillis.remove(entry.id());
        Upstream known = upstreams.get(entry.id());
        if (known != null && isSameStart(known.entry(), entry)) {
            known.update(entry);
            return Optional.empty();
        }
        if (known != null) {
            known.leave();
        }
        Upstream fresh = new Upstream(entry, kvCapacityTokens.applyAsLong(entry.service()));
        upstreams.put(entry.id(), fresh);
        return Optional.of(fresh);
    }

    private static boolean isSameStart(UpstreamEntry known, UpstreamEntry entry) {
        return known.startedAtEpochMillis() == entry.startedAtEpochMillis()
                && known.address().equals(entry.address())
                && known.service().equals(entry.service());
    }

    /**
     * Takes the end of an entry.
     *
     * @param id the upstream
     * @param storeWasAway whether the store was lately away, so that the entry may have lapsed by itself
     * @param nowMillis the present time
     */
    public void remove(UpstreamId id, boolean storeWasAway, long nowMillis) {
        if (!upstreams.containsKey(id)) {
            return;
        }
        if (storeWasAway) {
            missingUntilMillis.putIfAbsent(id, nowMillis + graceMillis);
        } else {
            drop(id);
        }
    }

    /**
     * Takes a complete list of entries.
     *
     * @param entries the entries
     * @param storeWasAway whether the store was lately away
     * @param nowMillis the present time
     */
    public void replaceAll(Collection<UpstreamEntry> entries, boolean storeWasAway, long nowMillis) {
        Set<UpstreamId> listed = new HashSet<>();
        for (UpstreamEntry entry : entries) {
            listed.add(entry.id());
            put(entry);
        }
        for (UpstreamId id : List.copyOf(upstreams.keySet())) {
            if (!listed.contains(id)) {
                remove(id, storeWasAway, nowMillis);
            }
        }
    }

    /**
     * Drops the upstreams whose grace is over.
     *
     * @param nowMillis the present time
     */
    public void expire(long nowMillis) {
        missingUntilMillis.entrySet().removeIf(missing -> {
            boolean over = nowMillis >= missing.getValue();
            if (over) {
                dropUpstream(missing.getKey());
            }
            return over;
        });
    }

    private void drop(UpstreamId id) {
        missingUntilMillis.remove(id);
        dropUpstream(id);
    }

    private void dropUpstream(UpstreamId id) {
        Upstream gone = upstreams.remove(id);
        if (gone != null) {
            gone.leave();
        }
    }

    /**
     * Returns an upstream.
     *
     * @param id the upstream
     * @return the upstream, empty when it is not listed
     */
    public Optional<Upstream> find(UpstreamId id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /**
     * Returns the upstreams of a service that take new work.
     *
     * @param service the service
     * @return the upstreams, in no order
     */
    public List<Upstream> acceptingWork(ServiceId service) {
        List<Upstream> open = new ArrayList<>();
        for (Upstream upstream : upstreams.values()) {
            if (!upstream.isLeaving() && upstream.entry().service().equals(service)) {
                open.add(upstream);
            }
        }
        return open;
    }

    /**
     * Returns the upstreams of a service that are listed, also those that take no new work.
     *
     * @param service the service
     * @return the upstreams, in no order
     */
    public List<Upstream> listed(ServiceId service) {
        List<Upstream> listed = new ArrayList<>(upstreams.values());
        listed.removeIf(upstream -> !upstream.entry().service().equals(service));
        return listed;
    }

    /**
     * Returns all upstreams that are listed.
     *
     * @return the upstreams, in no order
     */
    public Collection<Upstream> all() {
        return upstreams.values();
    }

    /**
     * Takes the work of other nodes at the upstreams.
     *
     * @param work the work by upstream; an upstream that is left out has none
     */
    public void setRemoteWork(Map<UpstreamId, RemoteWork> work) {
        upstreams.forEach((id, upstream) -> {
            RemoteWork remote = work.getOrDefault(id, RemoteWork.NONE);
            upstream.setRemoteWork(remote.requests(), remote.pendingPrefillTokens());
        });
    }
}
