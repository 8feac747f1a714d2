package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.serving.PeerEndpoint;
import org.cactusshift.internal.coordination.serving.PeerToken;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Registers this node in the store under a lease, and lists the nodes that are registered there.
 *
 * <p>Not thread-safe; must be used on the thread on which the store calls its receivers.
 */
public final class NodeRegistration {
    /**
     * Time to live of the lease: outlasts a short outage of the store, yet lets the entry of a crashed node expire
     * soon.
     */
    private static final long TTL_MILLIS = 6_000;

    /** Period of the calls that grant or renew the lease, also of those that fail. */
    private static final long RENEWAL_PERIOD_MILLIS = 2_000;

    private final DutyHolder self;
    private final String registrationKeyPrefix;
    private final String endpointKeyPrefix;
    private final FailureDomainId domain;
    private final PeerToken token;
    private final AsyncKeyValueStore store;
    private final SiteStateFollower follower;
    private final RelayClock clock;
    private final EventLog log;
    private Map<InstanceId, InetSocketAddress> peerAddressByNode = Map.of();
    private List<PeerEndpoint> peerEndpoints = List.of();

    /** The version of the follower's node values from which the peer addresses were derived. */
    private long peerAddressesVersion = -1;

    private LeaseGrant lease = LeaseGrant.NONE;
    private boolean registered;
    private boolean callPending;
    private boolean stopped;
    private long nextRenewalMillis = Long.MIN_VALUE;

    private NodeRegistration(
            DutyHolder self,
            FailureDomainId domain,
            PeerToken token,
            String nodeKeyPrefix,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            RelayClock clock,
            EventLog log) {
        this.self = self;
        this.domain = domain;
        this.token = token;
        this.registrationKeyPrefix = nodeKeyPrefix + "node/";
        this.endpointKeyPrefix = nodeKeyPrefix + "endpoint/";
        this.store = store;
        this.follower = follower;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Returns a registration that has not been written yet.
     *
     * @param self this node; its lease id is replaced
     * @param domain the failure domain of this node
     * @param token the token that this node expects with requests of its peers
     * @param nodeKeyPrefix the prefix of the keys that nodes write
     * @param store the store
     * @param follower provides the registrations of all nodes
     * @param clock the monotonic and the wall clock
     * @param log records that the store rejected a grant or renewal of the lease
     * @return the registration
     */
    public static NodeRegistration create(
            DutyHolder self,
            FailureDomainId domain,
            PeerToken token,
            String nodeKeyPrefix,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            RelayClock clock,
            EventLog log) {
        return new NodeRegistration(self, domain, token, nodeKeyPrefix, store, follower, clock, log);
    }

    /**
     * Returns the peer addresses of the registered nodes, this one included once it is registered.
     *
     * @return the peer addresses by node
     */
    public Map<InstanceId, InetSocketAddress> peerAddressByNode() {
        readNodes();
        return peerAddressByNode;
    }

    /**
     * Returns where the registered nodes take requests of their peers, this one included once it is registered.
     *
     * @return the endpoints; the same list as long as no node registers or leaves
     */
    List<PeerEndpoint> peerEndpoints() {
        readNodes();
        return peerEndpoints;
    }

    private void readNodes() {
        if (peerAddressesVersion == follower.nodeValuesVersion()) {
            return;
        }
        peerAddressesVersion = follower.nodeValuesVersion();
        peerAddressByNode = new HashMap<>();
        List<PeerEndpoint> endpoints = new ArrayList<>();
        for (VersionedValue value : follower.nodeValueByKey().values()) {
            if (value.key().startsWith(registrationKeyPrefix)) {
                Optional<DutyHolder> holder = DutyHolder.fromBytes(value.value());
                holder.flatMap(node -> parseAddress(node.peerAddress()))
                        .ifPresent(address -> peerAddressByNode.put(holder.get().instance(), address));
            } else if (value.key().startsWith(endpointKeyPrefix)) {
                PeerEndpoint.fromBytes(value.value()).ifPresent(endpoints::add);
            }
        }
        endpoints.sort(Comparator.comparing(PeerEndpoint::node));
        if (!endpoints.equals(peerEndpoints)) {
            peerEndpoints = List.copyOf(endpoints);
        }
    }

    /**
     * Returns the ids of the nodes that are registered.
     *
     * @return the ids
     */
    public Set<InstanceId> nodeIds() {
        return new HashSet<>(peerAddressByNode().keySet());
    }

    /** Parses {@code ADDRESS:PORT}; returns empty when the text is malformed. */
    static Optional<InetSocketAddress> parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return Optional.of(
                    new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }

    /**
     * Requests or renews the lease when that is due, and registers the node under it; does nothing before the follower
     * is ready.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void tick(long nowMillis) {
        if (callPending || stopped || nowMillis < nextRenewalMillis || !follower.isReady()) {
            return;
        }
        if (lease.equals(LeaseGrant.NONE) && !follower.hasReadCurrentEra()) {
            // After a restore the nodes register as they read the store anew: one after the other.
            return;
        }
        callPending = true;
        nextRenewalMillis = nowMillis + RENEWAL_PERIOD_MILLIS;
        if (lease.equals(LeaseGrant.NONE)) {
            store.grantLease(TTL_MILLIS, this::onLease);
        } else {
            store.keepAlive(lease, this::onLease);
        }
    }

    /**
     * Registers again under a new lease, as the store was restored from a copy and may have forgotten the lease, or
     * given out its id again.
     */
    void onStoreRestored() {
        lapse();
    }

    private void lapse() {
        lease = LeaseGrant.NONE;
        registered = false;
        nextRenewalMillis = clock.monotonicMillis();
    }

    private void onLease(Either<Failure, LeaseGrant> grant) {
        callPending = false;
        if (grant.isLeft()) {
            if (grant.getLeft().kind() == Failure.Kind.REJECTED) {
                log.event("node.registrationLapsed").write();
                lapse();
            }
            return;
        }
        lease = grant.get();
        if (stopped) {
            store.revokeLease(lease, done -> registered = false);
        } else if (!registered) {
            register();
        }
    }

    private void register() {
        callPending = true;
        byte[] value = self.withLease(lease.leaseId()).toBytes();
        write(registrationKeyPrefix, value, done -> {
            // A conflict means that an earlier write of this very key succeeded although its response was lost.
            if (done.isRight() && !stopped) {
                registerEndpoint();
            } else {
                callPending = false;
            }
        });
    }

    private void registerEndpoint() {
        byte[] value = new PeerEndpoint(self.instance(), domain, self.peerAddress(), token).toBytes();
        write(endpointKeyPrefix, value, done -> {
            callPending = false;
            registered = done.isRight();
        });
    }

    private void write(String keyPrefix, byte[] value, Consumer<Either<Failure, SwapResult>> receiver) {
        // The lease id makes the key unique to this registration.
        String key =
                keyPrefix + self.instance().value() + "+" + self.incarnation().value() + "+" + lease.leaseId();
        store.compareAndSwap(new AsyncKeyValueStore.Write(key, 0, value, lease, List.of()), receiver);
    }

    /**
     * Stops renewing and revokes the lease, and revokes it also when a grant or renewal that is still pending succeeds,
     * so that the other nodes see soon that this node leaves.
     */
    public void stop() {
        stopped = true;
        if (!lease.equals(LeaseGrant.NONE)) {
            store.revokeLease(lease, done -> registered = false);
        }
    }
}
