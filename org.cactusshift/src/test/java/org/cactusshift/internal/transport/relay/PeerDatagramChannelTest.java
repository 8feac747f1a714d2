package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.serving.GossipMessage;
import org.cactusshift.internal.coordination.serving.PromptPart;
import org.cactusshift.internal.coordination.serving.PromptPartUse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerDatagramChannelTest {
    private static final long LONGEST_WAIT_SECONDS = 20;
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    /** A burst of long prompts makes gossip messages many times longer than usual. */
    @ParameterizedTest
    @ValueSource(ints = {0, 40, 200})
    void messageWithAnyNumberOfPartUsesArrivesComplete(int partUseCount) throws InterruptedException {
        EventLog log = (event, fields) -> {};
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        BlockingQueue<GossipMessage> received = new LinkedBlockingQueue<>();
        try {
            PeerDatagramChannel sender = PeerDatagramChannel.create(group, log);
            PeerDatagramChannel receiver = PeerDatagramChannel.create(group, log);
            sender.bind(ANY_PORT, (message, from) -> {}, (message, from) -> {}, changes -> {});
            receiver.bind(ANY_PORT, (message, from) -> received.add(message), (message, from) -> {}, changes -> {});
            List<PromptPartUse> partUses = new ArrayList<>();
            for (int i = 0; i < partUseCount; i++) {
                partUses.add(new PromptPartUse(
                        UpstreamId.fromString("engine-" + i), new PromptPart(Long.MAX_VALUE - i, 13_000)));
            }
            GossipMessage message = new GossipMessage(
                    InstanceId.fromString("n1"),
                    IncarnationId.fromString("i1"),
                    1,
                    Map.of(),
                    Map.of(),
                    Optional.empty(),
                    List.of(),
                    List.of(),
                    List.of(),
                    partUses,
                    Set.of(),
                    List.of());
            sender.send(List.of(receiver.address()), message);
            GossipMessage arrived = received.poll(LONGEST_WAIT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(arrived);
            assertEquals(message, arrived);
        } finally {
            group.shutdownGracefully();
        }
    }
}
