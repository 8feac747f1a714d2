package org.cactusshift.internal.transport.relay;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.internal.coordination.serving.StreamOriginHolders;
import org.cactusshift.internal.coordination.serving.StreamOrigins;

/**
 * Tells other nodes which software version began a stream, and asks them. To be used on the event loop only.
 *
 * <p>The origin is sent before the first event, so that it is known when the caller has an event to go on from.
 */
final class StreamOriginExchange {
    /** How long an answer is awaited before the question is repeated; several round trips between failure domains. */
    private static final long ANSWER_MILLIS = 40;

    private static final int QUESTIONS = 4;

    private final InstanceId self;
    private final PeerDatagramChannel channel;
    private final EventLoop eventLoop;
    private final RelayClock clock;
    private final StreamOrigins origins = StreamOrigins.create();
    private Map<InstanceId, InetSocketAddress> addressByNode = Map.of();
    private StreamOriginHolders holders = StreamOriginHolders.among(Set.of());

    private StreamOriginExchange(InstanceId self, PeerDatagramChannel channel, EventLoop eventLoop, RelayClock clock) {
        this.self = self;
        this.channel = channel;
        this.eventLoop = eventLoop;
        this.clock = clock;
    }

    /** Returns an exchange that knows no other nodes. */
    static StreamOriginExchange create(
            InstanceId self, PeerDatagramChannel channel, EventLoop eventLoop, RelayClock clock) {
        return new StreamOriginExchange(self, channel, eventLoop, clock);
    }

    /** Records the version that begins a stream, here and at other nodes. */
    void record(RequestId request, SoftwareVersion version) {
        origins.record(request, version, clock.monotonicMillis());
        send(holders.told(request), new StreamOriginMessage(request, Optional.of(version)));
    }

    /** Finds the version that began a stream; the receiver is called once, with empty when no node answers. */
    void find(RequestId request, Consumer<Optional<SoftwareVersion>> receiver) {
        ask(request, QUESTIONS, receiver);
    }

    private void ask(RequestId request, int remainingQuestions, Consumer<Optional<SoftwareVersion>> receiver) {
        Optional<SoftwareVersion> known = origins.find(request);
        if (known.isPresent() || remainingQuestions == 0 || addressByNode.isEmpty()) {
            receiver.accept(known);
            return;
        }
        send(holders.asked(request), new StreamOriginMessage(request, Optional.empty()));
        eventLoop.schedule(() -> ask(request, remainingQuestions - 1, receiver), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void send(List<InstanceId> nodes, StreamOriginMessage message) {
        channel.send(nodes.stream().map(addressByNode::get).toList(), message);
    }

    /** Sets the peer addresses of the nodes of the site, this one possibly included. */
    void setNodes(Map<InstanceId, InetSocketAddress> addresses) {
        Map<InstanceId, InetSocketAddress> others = new HashMap<>(addresses);
        others.remove(self);
        if (!others.equals(addressByNode)) {
            addressByNode = others;
            holders = StreamOriginHolders.among(others.keySet());
        }
    }

    /** Records an origin that another node tells, or answers its question. */
    void onMessage(StreamOriginMessage message, InetSocketAddress sender) {
        if (message.version().isPresent()) {
            origins.record(message.request(), message.version().get(), clock.monotonicMillis());
            return;
        }
        origins.find(message.request())
                .ifPresent(version -> channel.send(
                        List.of(sender), new StreamOriginMessage(message.request(), Optional.of(version))));
    }

    void expire(long nowMillis) {
        origins.expire(nowMillis);
    }
}
