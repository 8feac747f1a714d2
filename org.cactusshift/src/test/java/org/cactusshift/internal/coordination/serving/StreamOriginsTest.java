package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.SoftwareVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StreamOriginsTest {
    private static final SoftwareVersion V1 = SoftwareVersion.fromString("v1");
    private static final SoftwareVersion V2 = SoftwareVersion.fromString("v2");
    private static final RequestId REQUEST = RequestId.fromString("r1");

    private final StreamOrigins origins = StreamOrigins.create();

    @Test
    void firstOriginHoldsUntilItIsTooOld() {
        origins.record(REQUEST, V1, 0);
        origins.record(REQUEST, V2, 10);
        origins.expire(StreamOrigins.RETENTION_MILLIS);
        assertEquals(Optional.of(V1), origins.find(REQUEST));
        origins.expire(StreamOrigins.RETENTION_MILLIS + 1);
        assertEquals(Optional.empty(), origins.find(REQUEST));
    }

    private static List<InstanceId> nodes(int count) {
        List<InstanceId> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(InstanceId.fromString("node-" + i));
        }
        return nodes;
    }

    /** Whichever node began a stream and whichever is asked, all nodes that were told are asked. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 8, 60, 1_800})
    void nodesThatWereToldAreAskedByAnyNode(int nodeCount) {
        List<InstanceId> nodes = nodes(nodeCount);
        for (int i = 0; i < 50; i++) {
            InstanceId first = nodes.get(i % nodeCount);
            InstanceId next = nodes.get((i + 1) % nodeCount);
            RequestId request = RequestId.fromString("r" + i);
            List<InstanceId> told = among(nodes, first).told(request);
            List<InstanceId> asked = among(nodes, next).asked(request);
            for (InstanceId holder : told) {
                assertTrue(holder.equals(next) || asked.contains(holder), told + " were told, asked are " + asked);
            }
        }
    }

    private static StreamOriginHolders among(List<InstanceId> nodes, InstanceId self) {
        return StreamOriginHolders.among(
                nodes.stream().filter(node -> !node.equals(self)).toList());
    }

    @Test
    void originsAreSpreadOverTheNodes() {
        StreamOriginHolders holders = StreamOriginHolders.among(nodes(8));
        int[] count = new int[1];
        for (int i = 0; i < 800; i++) {
            if (holders.told(RequestId.fromString("r" + i)).contains(InstanceId.fromString("node-3"))) {
                count[0]++;
            }
        }
        assertTrue(count[0] > 150 && count[0] < 250, count[0] + " of 800");
    }
}
