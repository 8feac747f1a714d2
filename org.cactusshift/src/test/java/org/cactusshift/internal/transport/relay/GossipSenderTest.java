package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.serving.GossipMessage;
import org.cactusshift.internal.coordination.serving.GossipReceiver;
import org.cactusshift.internal.coordination.serving.ServiceReachability;
import org.cactusshift.internal.coordination.serving.SiteClock;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.serving.UsageCollector;
import org.cactusshift.internal.coordination.serving.UsageCounts;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GossipSenderTest {
    private static final int NODES = 8;
    private static final long LONGEST_WAIT_MILLIS = 20_000;
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private static DutyHolder identity(int node) {
        return new DutyHolder(InstanceId.fromString("n" + node), IncarnationId.fromString("i"), "127.0.0.1:1", 0);
    }

    private static GossipReceiver receiver(UsageCounts usage) {
        return GossipReceiver.create(
                UpstreamDirectory.create(service -> 1, 1),
                new SiteClock(),
                usage,
                CrashHistory.create(1_000),
                limit -> {});
    }

    /** Guards against counts that are lost with all nodes because they were not sent for seconds. */
    @ParameterizedTest
    @CsvSource({"1, 2", "8, 2", "60, 3", "95, 4", "300, 12"})
    void countsAreSentOftenButNotTooManyAtATime(int nodes, int ticks) {
        assertEquals(ticks, GossipSender.usagePeriodTicks(nodes));
    }

    @Test
    void countsAreSentToTheHolderAndAtMostThreeMoreNodes() throws InterruptedException {
        EventLog log = (event, fields) -> {};
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Map<InstanceId, GossipMessage> messageWithCountsByNode = new ConcurrentHashMap<>();
        Map<InstanceId, GossipMessage> messageByNode = new ConcurrentHashMap<>();
        Map<InstanceId, InetSocketAddress> addressByNode = new HashMap<>();
        List<PeerDatagramChannel> channels = new ArrayList<>();
        try {
            for (int node = 0; node < NODES; node++) {
                InstanceId id = InstanceId.fromString("n" + node);
                PeerDatagramChannel channel = PeerDatagramChannel.create(group, log);
                channel.bind(
                        ANY_PORT,
                        (message, sender) -> {
                            messageByNode.put(id, message);
                            if (!message.usage().isEmpty()) {
                                messageWithCountsByNode.put(id, message);
                            }
                        },
                        (message, sender) -> {},
                        changes -> {});
                channels.add(channel);
                addressByNode.put(id, channel.address());
            }
            UsageCounts usage = UsageCounts.create(5_000);
            usage.add(AccountId.fromString("a"), 6_000);
            GossipSender sender = GossipSender.create(
                    identity(0),
                    channels.get(0),
                    UpstreamDirectory.create(service -> 1, 1),
                    usage,
                    CrashHistory.create(1_000),
                    UpstreamRequestLimits.create(InstanceId.fromString("n0"), id -> Optional.empty()),
                    ServiceReachability.create(service -> Set.of()),
                    250);
            GossipReceiver receiver = receiver(usage);
            receiver.onCollector(new UsageCollector(InstanceId.fromString("n5"), "127.0.0.1:1", 3));
            long end = System.nanoTime() + LONGEST_WAIT_MILLIS * 1_000_000;
            while (messageByNode.size() < NODES - 1 || messageWithCountsByNode.size() < 3) {
                assertTrue(System.nanoTime() < end, "received by " + messageByNode.keySet());
                sender.tick(addressByNode, receiver, 6_000, 1);
                Thread.sleep(20);
            }
            assertTrue(messageWithCountsByNode.containsKey(InstanceId.fromString("n5")));
            assertTrue(
                    messageWithCountsByNode.size() <= 4,
                    messageWithCountsByNode.keySet().toString());
            assertEquals(
                    Map.of(IncarnationId.fromString("i"), Map.of(1L, Map.of(AccountId.fromString("a"), 1L))),
                    messageWithCountsByNode.get(InstanceId.fromString("n5")).usage());
        } finally {
            group.shutdownGracefully();
        }
    }
}
