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
import java.util.function.BiConsumer;
import org.cactusshift.internal.coordination.serving.GossipMessage;

/**
 * Exchanges bulletins between nodes as datagrams, which need no connections that could fall silent.
 */
public final class PeerDatagramChannel {
    /** A longer datagram is cut when it is received, and so is none; Netty's own limit is 2 KB. */
    private static final int LONGEST_BULLETIN_BYTES = 32 * 1_024;

    private final EventLoopGroup eventLoop;
    private final EventLog log;
    private Channel channel;
    private boolean malformedNoted;

    private PeerDatagramChannel(EventLoopGroup eventLoop, EventLog log) {
        this.eventLoop = eventLoop;
        this.log = log;
    }

    /**
     * Returns a link that is not bound yet.
     *
     * @param eventLoop the event loop
     * @param log takes malformed datagrams
     * @return the link
     */
    public static PeerDatagramChannel create(EventLoopGroup eventLoop, EventLog log) {
        return new PeerDatagramChannel(eventLoop, log);
    }

    /**
     * Binds the link.
     *
     * @param address the address
     * @param receiver takes bulletins of others and the address of their sender
     * @throws InterruptedException if the thread is interrupted meanwhile
     */
    public void bind(InetSocketAddress address, BiConsumer<GossipMessage, InetSocketAddress> receiver)
            throws InterruptedException {
        channel = new Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(LONGEST_BULLETIN_BYTES))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        byte[] bytes = new byte[packet.content().readableBytes()];
                        packet.content().readBytes(bytes);
                        GossipMessageCodec.read(bytes)
                                .ifPresentOrElse(
                                        bulletin -> receiver.accept(bulletin, packet.sender()),
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

    private void onMalformed(InetSocketAddress sender) {
        if (!malformedNoted) {
            malformedNoted = true;
            log.event("peer.malformed").with("peer", sender).write();
        }
    }

    /**
     * Returns the address to which the link is bound.
     *
     * @return the address
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /**
     * Sends a bulletin; it may be lost.
     *
     * @param peers the addresses of other nodes
     * @param bulletin the bulletin
     */
    void send(List<InetSocketAddress> peers, GossipMessage bulletin) {
        if (peers.isEmpty()) {
            return;
        }
        byte[] bytes = GossipMessageCodec.write(bulletin);
        peers.forEach(peer -> channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer)));
        channel.flush();
    }
}
