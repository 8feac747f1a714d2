package org.cactusshift.internal.coordination.lease;

import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SiteId;

/**
 * Identifies a duty: a coordinator role for one shard, held by one node at a time.
 *
 * @param kind the kind of duty
 * @param shard what the duty covers, unique within the kind: the number of a shard, a failure domain, or a failure
 *     domain and a service joined by '+'; contains no '/'
 */
public record DutyId(DutyKind kind, String shard) implements Comparable<DutyId> {
    // Identifiers can't contain it, so the failure domain and the service can be told apart.
    private static final String PART_SEPARATOR = "+";
    private static final Comparator<DutyId> ORDER =
            Comparator.comparing(DutyId::kind).thenComparing(DutyId::shard);

    /** Checks that the shard is not empty and contains no '/'. */
    public DutyId {
        Objects.requireNonNull(kind, "kind");
        if (shard.isEmpty() || shard.indexOf('/') >= 0) {
            throw new IllegalArgumentException("duty shard must not be empty or contain '/': \"" + shard + "\"");
        }
    }

    /**
     * Returns the duty of a usage shard.
     *
     * @param shard the number of the shard
     * @return the duty
     */
    public static DutyId usage(int shard) {
        return new DutyId(DutyKind.USAGE, Integer.toString(shard));
    }

    /**
     * Returns the duty of a claim shard.
     *
     * @param shard the number of the shard
     * @return the duty
     */
    public static DutyId claim(int shard) {
        return new DutyId(DutyKind.CLAIM, Integer.toString(shard));
    }

    /**
     * Returns the duty of sending orders to the engines of a service in a failure domain.
     *
     * @param failureDomain the failure domain
     * @param service the service
     * @return the duty
     */
    public static DutyId engineOrders(FailureDomainId failureDomain, ServiceId service) {
        return new DutyId(DutyKind.ENGINE_ORDERS, failureDomain.value() + PART_SEPARATOR + service.value());
    }

    /**
     * Returns the duty of ordering upstreams from the platform for a failure domain.
     *
     * @param failureDomain the failure domain
     * @return the duty
     */
    public static DutyId upstreamOrders(FailureDomainId failureDomain) {
        return new DutyId(DutyKind.UPSTREAM_ORDERS, failureDomain.value());
    }

    /**
     * Returns the prefix of the duty keys of a site.
     *
     * @param site the site
     * @return the prefix, with a trailing '/'
     */
    public static String keyPrefix(SiteId site) {
        return "/cactusshift/" + site.value() + "/duty/";
    }

    /**
     * Parses a duty from its key.
     *
     * @param site the site
     * @param key the full key
     * @return the duty; empty when the key is not a duty key
     * @throws IllegalArgumentException if the key has the form of a duty key but a '/' in its shard
     */
    public static Optional<DutyId> fromKey(SiteId site, String key) {
        String prefix = keyPrefix(site);
        if (!key.startsWith(prefix)) {
            return Optional.empty();
        }
        String path = key.substring(prefix.length());
        for (DutyKind kind : DutyKind.values()) {
            String kindPrefix = kind.pathSegment() + "/";
            if (path.startsWith(kindPrefix) && path.length() > kindPrefix.length()) {
                return Optional.of(new DutyId(kind, path.substring(kindPrefix.length())));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the key under which the holder is registered; it is absent from the store while the duty is vacant.
     *
     * @param site the site
     * @return the full key
     */
    public String key(SiteId site) {
        return keyPrefix(site) + kind.pathSegment() + "/" + shard;
    }

    /**
     * Returns the key of the duty's durable record, which outlives its holders.
     *
     * @param site the site
     * @return the full key
     */
    public String recordKey(SiteId site) {
        return "/cactusshift/" + site.value() + "/record/" + kind.pathSegment() + "/" + shard;
    }

    @Override
    public int compareTo(DutyId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind.pathSegment() + "/" + shard;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof DutyId that && kind == that.kind && shard.equals(that.shard);
    }

    @Override
    public int hashCode() {
        return 31 * kind.hashCode() + shard.hashCode();
    }
}
