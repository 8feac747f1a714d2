package org.cactusshift.internal.coordination.configsync;

import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.membership.Member;

/** Builds a {@link ConfigDistributor}; every property is required. */
public final class ConfigDistributorBuilder {
    InstanceId self;
    FailureDomainId failureDomain;
    ConfigRepository repository;
    ConfigPeerClient peers;
    ConfigDistributionListener listener;
    /** The members other than this node. */
    Supplier<List<Member>> members;

    LongSupplier contactAgeMillis;
    LongSupplier monotonicMillis;

    ConfigDistributorBuilder() {}

    /**
     * Sets the identity of this node.
     *
     * @param self the instance of this node
     * @param failureDomain the failure domain of the instance
     * @return this builder
     */
    public ConfigDistributorBuilder setSelf(InstanceId self, FailureDomainId failureDomain) {
        this.self = self;
        this.failureDomain = failureDomain;
        return this;
    }

    /**
     * Sets the repository of accepted configurations in the key-value store.
     *
     * @param repository the repository
     * @return this builder
     */
    public ConfigDistributorBuilder setRepository(ConfigRepository repository) {
        this.repository = repository;
        return this;
    }

    /**
     * Sets the client for calls to peers.
     *
     * @param peers the client
     * @return this builder
     */
    public ConfigDistributorBuilder setPeers(ConfigPeerClient peers) {
        this.peers = peers;
        return this;
    }

    /**
     * Sets the listener for new heads, installations and store contacts; it is called before all other listeners.
     *
     * @param listener the listener
     * @return this builder
     */
    public ConfigDistributorBuilder setListener(ConfigDistributionListener listener) {
        this.listener = listener;
        return this;
    }

    /**
     * Sets the source of the other members of the site.
     *
     * @param members returns the current members other than this node
     * @return this builder
     */
    public ConfigDistributorBuilder setMembers(Supplier<List<Member>> members) {
        this.members = members;
        return this;
    }

    /**
     * Sets the source of the age of the last known store contact, by this node or reported by a peer.
     *
     * @param contactAgeMillis returns the age, in milliseconds; negative when no contact is known
     * @return this builder
     */
    public ConfigDistributorBuilder setContactAgeMillis(LongSupplier contactAgeMillis) {
        this.contactAgeMillis = contactAgeMillis;
        return this;
    }

    /**
     * Sets the clock.
     *
     * @param monotonicMillis returns the current time, monotonic, in milliseconds
     * @return this builder
     */
    public ConfigDistributorBuilder setMonotonicMillis(LongSupplier monotonicMillis) {
        this.monotonicMillis = monotonicMillis;
        return this;
    }

    /**
     * Builds the distributor.
     *
     * @return the distributor, not started
     * @throws NullPointerException if a property was not set
     */
    public ConfigDistributor build() {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(repository, "repository");
        Objects.requireNonNull(peers, "peers");
        Objects.requireNonNull(listener, "listener");
        Objects.requireNonNull(members, "members");
        Objects.requireNonNull(contactAgeMillis, "contactAgeMillis");
        Objects.requireNonNull(monotonicMillis, "monotonicMillis");
        return ConfigDistributor.of(this);
    }
}
