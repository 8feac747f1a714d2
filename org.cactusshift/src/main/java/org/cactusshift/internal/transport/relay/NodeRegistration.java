package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/** Keeps this node's key in the store under a lease, and knows the other nodes by theirs. */
public final class NodeRegistration {
    /** Long enough to outlast a short absence of the store, short enough for a dead node to vanish soon. */
    private static final long TTL_MILLIS = 6_000;

    private static final long RENEW_MILLIS = 2_000;

    private final DutyHolder self;
    private final String prefix;
    private final AsyncKeyValueStore store;
    private final SiteStateFollower follower;
    private final RelayClock clock;
    private final EventLog log;
    private Map<InstanceId, InetSocketAddress> members = Map.of();
    private long membersChange = -1;
    private LeaseGrant lease = LeaseGrant.NONE;
    private boolean written;
    private boolean busy;
    private boolean stopped;
    private long nextMillis = Long.MIN_VALUE;

    private NodeRegistration(
            DutyHolder self,
            String prefix,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            RelayClock clock,
            EventLog log) {
        this.self = self;
        this.prefix = prefix;
        this.store = store;
        this.follower = follower;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Returns a registration that is not written yet.
     *
     * @param self this node
     * @param ownPrefix the start of the keys that nodes write
     * @param store the store
     * @param follower follows the keys
     * @param clock the clocks
     * @param log takes changes
     * @return the registration
     */
    public static NodeRegistration create(
            DutyHolder self,
            String ownPrefix,
            AsyncKeyValueStore store,
            SiteStateFollower follower,
            RelayClock clock,
            EventLog log) {
        return new NodeRegistration(self, ownPrefix + "node/", store, follower, clock, log);
    }

    /**
     * Returns the nodes that are registered, this one included once it is.
     *
     * @return peer addresses by node
     */
    public Map<InstanceId, InetSocketAddress> members() {
        if (membersChange == follower.ownKeyChanges()) {
            return members;
        }
        membersChange = follower.ownKeyChanges();
        members = new HashMap<>();
        for (VersionedValue value : follower.ownKeys().values()) {
            if (value.key().startsWith(prefix)) {
                Optional<DutyHolder> holder = DutyHolder.fromBytes(value.value());
                holder.flatMap(node -> address(node.peerAddress()))
                        .ifPresent(address -> members.put(holder.get().instance(), address));
            }
        }
        return members;
    }

    /**
     * Returns the ids of the nodes that are registered.
     *
     * @return the ids
     */
    public Set<InstanceId> memberIds() {
        return new HashSet<>(members().keySet());
    }

    /** Reads {@code ADDRESS:PORT}; empty when the text is none. */
    static Optional<InetSocketAddress> address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return Optional.of(
                    new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }

    /**
     * Renews what is due.
     *
     * @param nowMillis the present time
     */
    public void tick(long nowMillis) {
        if (busy || stopped || nowMillis < nextMillis || !follower.isReady()) {
            return;
        }
        busy = true;
        nextMillis = nowMillis + RENEW_MILLIS;
        if (lease.equals(LeaseGrant.NONE)) {
            store.grantLease(TTL_MILLIS, this::onLease);
        } else {
            store.keepAlive(lease, this::onLease);
        }
    }

    private void onLease(Either<Failure, LeaseGrant> grant) {
        busy = false;
        if (grant.isLeft()) {
            if (grant.getLeft().kind() == Failure.Kind.REJECTED) {
                log.event("node.registrationLapsed").write();
                lease = LeaseGrant.NONE;
                written = false;
                nextMillis = clock.monotonicMillis();
            }
            return;
        }
        lease = grant.get();
        if (stopped) {
            store.revokeLease(lease, done -> written = false);
        } else if (!written) {
            write();
        }
    }

    private void write() {
        busy = true;
        String key = prefix + self.instance().value() + "+" + self.incarnation().value() + "+" + lease.leaseId();
        byte[] value = self.withLease(lease.leaseId()).toBytes();
        store.compareAndSwap(new AsyncKeyValueStore.Write(key, 0, value, lease, List.of()), this::onWritten);
    }

    private void onWritten(Either<Failure, SwapResult> swap) {
        busy = false;
        // A conflict shows an earlier write of this very key whose answer was lost.
        written = swap.isRight();
    }

    /** Ends the lease, so that the others see at once that this node leaves. */
    public void stop() {
        stopped = true;
        if (!lease.equals(LeaseGrant.NONE)) {
            store.revokeLease(lease, done -> written = false);
        }
    }
}
