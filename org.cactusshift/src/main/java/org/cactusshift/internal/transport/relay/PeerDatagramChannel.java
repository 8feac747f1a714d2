package org.cactusshift.internal.transport.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.quota.QuotaGrant;
import org.cactusshift.internal.coordination.quota.QuotaRequest;
import org.cactusshift.internal.coordination.serving.GossipMessage;
import org.cactusshift.internal.coordination.serving.SiteChanges;

/**
 * Exchanges gossip messages between nodes as UDP datagrams: unlike on a connection, which can stall unnoticed, a lost
 * message does not hold up the next one.
 */
public final class PeerDatagramChannel {
    /** A longer datagram is truncated on receipt and thus malformed; Netty's default limit is 2 KB. */
    private static final int RECEIVE_BUFFER_BYTES = 32 * 1_024;

    private final EventLoopGroup eventLoopGroup;
    private final EventLog log;
    private Channel channel;
    private boolean hasLoggedMalformed;
    private BiConsumer<QuotaRequest, InetSocketAddress> quotaRequestReceiver = (request, sender) -> {};
    private Consumer<InstanceId> gossipListener = node -> {};
    private BiConsumer<QuotaGrant, InetSocketAddress> quotaGrantReceiver = (grant, sender) -> {};

    private PeerDatagramChannel(EventLoopGroup eventLoopGroup, EventLog log) {
        this.eventLoopGroup = eventLoopGroup;
        this.log = log;
    }

    /**
     * Returns a channel that is not bound yet.
     *
     * @param eventLoopGroup the event loop
     * @param log records the first malformed datagram and errors of the channel
     * @return the channel
     */
    public static PeerDatagramChannel create(EventLoopGroup eventLoopGroup, EventLog log) {
        return new PeerDatagramChannel(eventLoopGroup, log);
    }

    /**
     * Binds the channel.
     *
     * @param address the local address
     * @param receiver receives the gossip messages of other nodes and the address of the sender; called on the event
     *     loop
     * @param originReceiver receives the messages about the origins of streams likewise
     * @param changesReceiver receives the changes of the store that other nodes have read
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    void bind(
            InetSocketAddress address,
            BiConsumer<GossipMessage, InetSocketAddress> receiver,
            BiConsumer<StreamOriginMessage, InetSocketAddress> originReceiver,
            Consumer<SiteChanges> changesReceiver)
            throws InterruptedException {
        channel = new Bootstrap()
                .group(eventLoopGroup)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        byte[] bytes = new byte[packet.content().readableBytes()];
                        packet.content().readBytes(bytes);
                        if (QuotaMessage.isQuotaMessage(bytes)) {
                            onQuotaMessage(bytes, packet.sender());
                            return;
                        }
                        Optional<StreamOriginMessage> origin = StreamOriginMessage.decode(bytes);
                        if (origin.isPresent()) {
                            originReceiver.accept(origin.get(), packet.sender());
                            return;
                        }
                        Optional<SiteChanges> changes = SiteChangesMessage.decode(bytes);
                        if (changes.isPresent()) {
                            changesReceiver.accept(changes.get());
                            return;
                        }
                        GossipMessageCodec.decode(bytes)
                                .ifPresentOrElse(
                                        message -> {
                                            gossipListener.accept(message.node());
                                            receiver.accept(message, packet.sender());
                                        },
                                        () -> onMalformed(packet.sender()));
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        log.event("peer.linkError")
                                .with("reason", String.valueOf(cause.getMessage()))
                                .write();
                    }
                })
                .bind(address)
                .sync()
                .channel();
    }

    /**
     * Sets the receivers of the messages about quotas; before that they are dropped.
     *
     * @param requestReceiver receives the requests for credit and the address of the sender
     * @param grantReceiver receives the answers likewise
     * @param gossipListener receives the senders of gossip messages
     */
    void setQuotaReceivers(
            BiConsumer<QuotaRequest, InetSocketAddress> requestReceiver,
            BiConsumer<QuotaGrant, InetSocketAddress> grantReceiver,
            Consumer<InstanceId> gossipListener) {
        this.gossipListener = gossipListener;
        quotaRequestReceiver = requestReceiver;
        quotaGrantReceiver = grantReceiver;
    }

    private void onQuotaMessage(byte[] bytes, InetSocketAddress sender) {
        Optional<QuotaRequest> request = QuotaMessage.decodeRequest(bytes);
        Optional<QuotaGrant> grant = QuotaMessage.decodeGrant(bytes);
        request.ifPresent(decoded -> quotaRequestReceiver.accept(decoded, sender));
        grant.ifPresent(decoded -> quotaGrantReceiver.accept(decoded, sender));
        if (request.isEmpty() && grant.isEmpty()) {
            onMalformed(sender);
        }
    }

    private void onMalformed(InetSocketAddress sender) {
        if (!hasLoggedMalformed) {
            hasLoggedMalformed = true;
            log.event("peer.malformed").with("peer", sender).write();
        }
    }

    /**
     * Returns the local address of the channel, which must be bound.
     *
     * @return the address
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /**
     * Sends a gossip message; it may be lost. The channel must be bound.
     *
     * @param peers the addresses of the recipients
     * @param message the message
     */
    void send(List<InetSocketAddress> peers, GossipMessage message) {
        if (!peers.isEmpty()) {
            send(peers, GossipMessageCodec.encode(message));
        }
    }

    /**
     * Sends a message about the origin of a stream; it may be lost. The channel must be bound.
     *
     * @param peers the addresses of the recipients
     * @param message the message
     */
    void send(List<InetSocketAddress> peers, StreamOriginMessage message) {
        if (!peers.isEmpty()) {
            send(peers, message.encode());
        }
    }

    /**
     * Sends changes of the store; they may be lost. The channel must be bound.
     *
     * @param peers the addresses of the recipients
     * @param changes the changes
     */
    void send(List<InetSocketAddress> peers, SiteChanges changes) {
        if (!peers.isEmpty()) {
            send(peers, SiteChangesMessage.encode(changes));
        }
    }

    /**
     * Sends an encoded {@link QuotaMessage}; it may be lost. The channel must be bound.
     *
     * @param peer the address of the recipient
     * @param bytes the message
     */
    void sendQuota(InetSocketAddress peer, byte[] bytes) {
        send(List.of(peer), bytes);
    }

    private void send(List<InetSocketAddress> peers, byte[] bytes) {
        peers.forEach(peer -> channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer)));
        channel.flush();
    }
}
