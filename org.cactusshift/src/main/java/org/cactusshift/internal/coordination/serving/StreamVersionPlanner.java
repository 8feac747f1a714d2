package org.cactusshift.internal.coordination.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.internal.coordination.store.StorePosition;

/**
 * Decides what a node writes to the record of {@link StreamVersions}, so that the record holds every version at which a
 * stream that may still be taken up can have begun.
 *
 * <p>A node begins streams only at versions that it has read as serving, so a version is recorded before its first
 * stream. Any node records a version that an upstream has. One node, which holds a duty for that, retires a version
 * that no upstream has had for a while and removes it after {@link #RETENTION_MILLIS}, unless a node has recorded it
 * again: each write is conditional on the revision that was read.
 *
 * <p>A store that was restored from a copy may show an older record. What a node knew before is then recorded again;
 * until that is done it counts as possible for streams that are taken up, but none begins at it.
 *
 * <p>Not thread-safe.
 */
public final class StreamVersionPlanner {
    /**
     * How long a retired version stays recorded: longer than an upstream goes on serving after its entry is gone, and a
     * caller then takes up its stream.
     */
    public static final long RETENTION_MILLIS = 60_000;

    /** How long no upstream has a version before it is retired, as entries that expired by mistake return. */
    public static final long UNLISTED_MILLIS = 10_000;

    private StreamVersions recorded = StreamVersions.NONE;

    /** The position of the record; that of the start while none is known. */
    private StorePosition position = StorePosition.START;

    /** What was known when the store was restored and has not been recorded again. */
    private StreamVersions carried = StreamVersions.NONE;

    private final Map<ServiceVersion, Long> unlistedSinceMillis = new HashMap<>();
    private final Map<ServiceVersion, Long> retiredSinceMillis = new HashMap<>();

    private record ServiceVersion(ServiceId service, SoftwareVersion version) {}

    private StreamVersionPlanner() {}

    /**
     * Returns a planner that knows no record.
     *
     * @return the planner
     */
    public static StreamVersionPlanner create() {
        return new StreamVersionPlanner();
    }

    /**
     * Receives the record as read from the store or written there; an older one is ignored.
     *
     * @param versions the record
     * @param recordPosition its position
     */
    public void onRecorded(StreamVersions versions, StorePosition recordPosition) {
        if (recordPosition.compareTo(position) <= 0) {
            return;
        }
        onAbsent(recordPosition.era());
        recorded = versions;
        position = recordPosition;
        if (recorded.withAll(carried).equals(recorded)) {
            carried = StreamVersions.NONE;
        }
    }

    /**
     * Receives that the store holds no record in an era; ignored unless the known one is of an earlier era.
     *
     * @param era the era
     */
    public void onAbsent(long era) {
        if (era > position.era()) {
            carried = carried.withAll(recorded);
            recorded = StreamVersions.NONE;
            position = new StorePosition(era, 0);
        }
    }

    /**
     * Returns the newest record that was read or written.
     *
     * @return the record
     */
    public StreamVersions recorded() {
        return recorded;
    }

    /**
     * Returns the versions at which a stream that is taken up can have begun, by a record and by what this node knew
     * before the store was restored.
     *
     * @param versions the record as just read
     * @return the versions
     */
    public StreamVersions withCarried(StreamVersions versions) {
        return versions.withAll(carried);
    }

    /**
     * Returns the position of the newest record.
     *
     * @return the position, with revision 0 while none is known
     */
    public StorePosition position() {
        return position;
    }

    /**
     * Returns the record that this node should write in place of the newest one.
     *
     * @param listed the versions that upstreams have, by service
     * @param retires whether this node retires versions
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the record, empty when the newest one may stay
     */
    public Optional<StreamVersions> next(Map<ServiceId, Set<SoftwareVersion>> listed, boolean retires, long nowMillis) {
        StreamVersions next = recorded.withAll(carried);
        for (Map.Entry<ServiceId, Set<SoftwareVersion>> service : listed.entrySet()) {
            for (SoftwareVersion version : service.getValue()) {
                if (!recorded.mayBegin(service.getKey(), version)) {
                    next = next.with(service.getKey(), version, Optional.of(StreamVersions.Use.SERVING));
                }
            }
        }
        if (retires) {
            next = retireUnlisted(next, listed, nowMillis);
        } else {
            unlistedSinceMillis.clear();
            retiredSinceMillis.clear();
        }
        return next.equals(recorded) ? Optional.empty() : Optional.of(next);
    }

    private StreamVersions retireUnlisted(
            StreamVersions versions, Map<ServiceId, Set<SoftwareVersion>> listed, long nowMillis) {
        StreamVersions next = versions;
        Set<ServiceVersion> unlisted = new HashSet<>();
        Set<ServiceVersion> retired = new HashSet<>();
        for (ServiceId service : versions.usesByService().keySet()) {
            Set<SoftwareVersion> listedVersions = listed.getOrDefault(service, Set.of());
            for (Map.Entry<SoftwareVersion, StreamVersions.Use> use :
                    versions.of(service).entrySet()) {
                ServiceVersion key = new ServiceVersion(service, use.getKey());
                // Without any upstream nothing is gained by forgetting the versions of the last ones.
                if (listedVersions.isEmpty() || listedVersions.contains(use.getKey())) {
                    continue;
                }
                unlisted.add(key);
                if (use.getValue() == StreamVersions.Use.RETIRED) {
                    retired.add(key);
                    if (nowMillis - retiredSinceMillis.computeIfAbsent(key, first -> nowMillis) > RETENTION_MILLIS) {
                        next = next.with(service, use.getKey(), Optional.empty());
                    }
                } else if (nowMillis - unlistedSinceMillis.computeIfAbsent(key, first -> nowMillis) > UNLISTED_MILLIS) {
                    next = next.with(service, use.getKey(), Optional.of(StreamVersions.Use.RETIRED));
                }
            }
        }
        unlistedSinceMillis.keySet().retainAll(unlisted);
        retiredSinceMillis.keySet().retainAll(retired);
        return next;
    }
}
