package org.cactusshift.internal.transport.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.serving.DomainReaders;
import org.cactusshift.internal.coordination.serving.PeerEndpoint;
import org.cactusshift.internal.coordination.serving.SiteChanges;

/**
 * Tells the other nodes of a failure domain what this node has read from the store. To be used on the event loop only.
 */
final class SharedReads {
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final InstanceId self;
    private final FailureDomainId domain;
    private final Supplier<List<PeerEndpoint>> endpoints;
    private final PeerDatagramChannel channel;
    private final long silenceMillis;
    private long toldAtMillis = NEVER_MILLIS;
    private List<PeerEndpoint> knownEndpoints = List.of();
    private DomainReaders readers = new DomainReaders(0, List.of());

    private SharedReads(
            InstanceId self,
            FailureDomainId domain,
            Supplier<List<PeerEndpoint>> endpoints,
            PeerDatagramChannel channel,
            long silenceMillis) {
        this.self = self;
        this.domain = domain;
        this.endpoints = endpoints;
        this.channel = channel;
        this.silenceMillis = silenceMillis;
    }

    /**
     * Returns the exchange among the endpoints that a supplier returns: the same list as long as nothing changes.
     *
     * @param silenceMillis the time without a message after which any node tells of its reads: the store may turn away
     *     all of those that tell otherwise, and other nodes that it turns away depend on being told
     */
    static SharedReads create(
            InstanceId self,
            FailureDomainId domain,
            Supplier<List<PeerEndpoint>> endpoints,
            PeerDatagramChannel channel,
            long silenceMillis) {
        return new SharedReads(self, domain, endpoints, channel, silenceMillis);
    }

    /** Records that another node told of a read. */
    void onTold(long nowMillis) {
        toldAtMillis = nowMillis;
    }

    /** Returns the position of this node among those that read. */
    int rank() {
        return readers().rank();
    }

    /** Tells the others what was read; the messages may be lost. */
    void tell(SiteChanges changes, long nowMillis) {
        if (!readers().tells() && nowMillis - toldAtMillis < silenceMillis) {
            return;
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (PeerEndpoint other : readers().others()) {
            NodeRegistration.parseAddress(other.address()).ifPresent(addresses::add);
        }
        channel.send(addresses, changes);
    }

    private DomainReaders readers() {
        List<PeerEndpoint> current = endpoints.get();
        if (current != knownEndpoints) {
            knownEndpoints = current;
            readers = DomainReaders.of(self, domain, current);
        }
        return readers;
    }
}
