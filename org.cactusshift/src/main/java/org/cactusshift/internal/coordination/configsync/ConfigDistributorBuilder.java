package org.cactusshift.internal.coordination.configsync;

import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.membership.Member;

/** Collects what a {@link ConfigDistributor} works with; everything is required. */
public final class ConfigDistributorBuilder {
    InstanceId self;
    FailureDomainId failureDomain;
    ConfigRepository repository;
    ConfigPeerClient peers;
    ConfigDistributionListener listener;
    Supplier<List<Member>> members;
    LongSupplier contactAgeMillis;
    LongSupplier nowMillis;

    ConfigDistributorBuilder() {}

    /**
     * Sets this node.
     *
     * @param self the instance
     * @param failureDomain its failure domain
     * @return this builder
     */
    public ConfigDistributorBuilder setSelf(InstanceId self, FailureDomainId failureDomain) {
        this.self = self;
        this.failureDomain = failureDomain;
        return this;
    }

    /**
     * Sets the configuration in the key-value service.
     *
     * @param repository the repository
     * @return this builder
     */
    public ConfigDistributorBuilder setRepository(ConfigRepository repository) {
        this.repository = repository;
        return this;
    }

    /**
     * Sets the calls to other nodes.
     *
     * @param peers the calls
     * @return this builder
     */
    public ConfigDistributorBuilder setPeers(ConfigPeerClient peers) {
        this.peers = peers;
        return this;
    }

    /**
     * Sets who is told first of heads, installations and store contacts.
     *
     * @param events the receiver
     * @return this builder
     */
    public ConfigDistributorBuilder setListener(ConfigDistributionListener events) {
        this.listener = events;
        return this;
    }

    /**
     * Sets the view of the other nodes.
     *
     * @param members returns the members at present
     * @return this builder
     */
    public ConfigDistributorBuilder setMembers(Supplier<List<Member>> members) {
        this.members = members;
        return this;
    }

    /**
     * Sets the age of the last store contact of which the node knows, directly or through peers.
     *
     * @param contactAgeMillis returns the age, in milliseconds; negative when there was none
     * @return this builder
     */
    public ConfigDistributorBuilder setContactAgeMillis(LongSupplier contactAgeMillis) {
        this.contactAgeMillis = contactAgeMillis;
        return this;
    }

    /**
     * Sets the clock.
     *
     * @param nowMillis returns the present time, monotonic, in milliseconds
     * @return this builder
     */
    public ConfigDistributorBuilder setNowMillis(LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
        return this;
    }

    /**
     * Builds the distributor.
     *
     * @return the distributor, not started
     * @throws NullPointerException if something was not set
     */
    public ConfigDistributor build() {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(repository, "repository");
        Objects.requireNonNull(peers, "peers");
        Objects.requireNonNull(listener, "events");
        Objects.requireNonNull(members, "members");
        Objects.requireNonNull(contactAgeMillis, "contactAgeMillis");
        Objects.requireNonNull(nowMillis, "nowMillis");
        return ConfigDistributor.of(this);
    }
}
