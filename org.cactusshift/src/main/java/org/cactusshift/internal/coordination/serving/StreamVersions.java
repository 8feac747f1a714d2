package org.cactusshift.internal.coordination.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SoftwareVersion;

/**
 * The software versions at which a stream that callers may still take up can have begun, by service. Kept in the store.
 * Immutable.
 *
 * @param usesByService how each version of a service is used
 */
public record StreamVersions(Map<ServiceId, Map<SoftwareVersion, Use>> usesByService) {
    /** No versions. */
    public static final StreamVersions NONE = new StreamVersions(Map.of());

    /** How a software version is used. */
    public enum Use {
        /** Streams may begin at it. */
        SERVING,
        /** No upstream has it any more; none may begin at it, but some that did may be taken up. */
        RETIRED
    }

    /** Copies the maps. */
    public StreamVersions {
        Map<ServiceId, Map<SoftwareVersion, Use>> copy = new HashMap<>();
        usesByService.forEach((service, uses) -> copy.put(service, Map.copyOf(uses)));
        usesByService = Map.copyOf(copy);
    }

    /**
     * Returns the versions of a service.
     *
     * @param service the service
     * @return how each version is used, empty when the service has none
     */
    public Map<SoftwareVersion, Use> of(ServiceId service) {
        return usesByService.getOrDefault(service, Map.of());
    }

    /**
     * Returns whether a stream may begin at a version.
     *
     * @param service the service
     * @param version the version
     * @return whether it is recorded as serving
     */
    public boolean mayBegin(ServiceId service, SoftwareVersion version) {
        return of(service).get(version) == Use.SERVING;
    }

    /**
     * Returns the only version at which a stream can have begun.
     *
     * @param service the service
     * @return the version, empty when there are several or none
     */
    public Optional<SoftwareVersion> sole(ServiceId service) {
        Set<SoftwareVersion> versions = of(service).keySet();
        return versions.size() == 1 ? Optional.of(versions.iterator().next()) : Optional.empty();
    }

    /**
     * Returns a copy that also holds the versions of an earlier record; a version that both hold is used as there.
     *
     * @param earlier the earlier record, which is newer knowledge than this one if the store was restored from a copy
     * @return the copy
     */
    public StreamVersions withAll(StreamVersions earlier) {
        StreamVersions all = this;
        for (Map.Entry<ServiceId, Map<SoftwareVersion, Use>> service :
                earlier.usesByService().entrySet()) {
            for (Map.Entry<SoftwareVersion, Use> use : service.getValue().entrySet()) {
                all = all.with(service.getKey(), use.getKey(), Optional.of(use.getValue()));
            }
        }
        return all;
    }

    /**
     * Returns a copy in which a version is used in a way.
     *
     * @param service the service
     * @param version the version
     * @param use how it is used, empty to remove it
     * @return the copy
     */
    public StreamVersions with(ServiceId service, SoftwareVersion version, Optional<Use> use) {
        Map<SoftwareVersion, Use> uses = new HashMap<>(of(service));
        use.ifPresentOrElse(value -> uses.put(version, value), () -> uses.remove(version));
        Map<ServiceId, Map<SoftwareVersion, Use>> copy = new TreeMap<>(usesByService);
        copy.put(service, uses);
        return new StreamVersions(copy);
    }
}
