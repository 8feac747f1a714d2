package org.cactusshift.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cactusshift.standin.Await;
import org.cactusshift.standin.StandInClient;
import org.cactusshift.standin.engine.EngineTiming;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StandInPlatformTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final String ORDERS = "/v1/failure-domains/a/orders";

    private final StandInClient client = StandInClient.create();

    private final StandInPlatform platform = StandInPlatform.create(
            PlatformSettings.ofCounts(Map.of("lm", 2), Map.of("app", 1), List.of("a", "b"), EngineTiming.fast())
                    .withDelays(50, 0));

    @BeforeEach
    void start() throws IOException {
        platform.start();
    }

    @AfterEach
    void stop() {
        platform.close();
        client.close();
    }

    @Test
    void repeatedTokenReturnsSameOrderAndItsUpstreamServesUntilReclaimed() throws IOException {
        String order =
                "{\"token\": \"t1\", \"service\": \"lm\", \"count\": 1, \"reclaimable\": true, \"fencing_number\": 7}";
        platform.orderingService().faults().dropResponses(1);
        String address = platform.orderingService().address();
        assertThrows(IOException.class, () -> client.post(address, ORDERS, order, "o1"));
        assertEquals(201, client.post(address, ORDERS, order, "o2").status());
        assertEquals(1, platform.orderingService().orders().size());
        Await.until(() -> firstOrder().path("state").asText().equals("running"));
        JsonNode upstream = firstOrder().path("upstreams").path(0);
        assertEquals(200, client.get(upstream.path("address").asText(), "/load").status());
        assertTrue(listedInstanceStates().contains(upstream.path("upstream_id").asText() + " live"));
        assertEquals(List.of(upstream.path("upstream_id").asText()), platform.reclaim("a", 1));
        Await.until(() -> listedInstanceStates().size() == 3);
        assertThrows(
                IOException.class, () -> client.get(upstream.path("address").asText(), "/load"));
    }

    @Test
    void orderBeyondCapacityIsRefused() throws IOException {
        platform.orderingService().setCapacity("a", 1);
        String order = "{\"token\": \"t1\", \"service\": \"lm\", \"count\": 2, \"fencing_number\": 1}";
        StandInClient.Response response = client.post(platform.orderingService().address(), ORDERS, order, "o1");
        assertEquals(409, response.status());
        assertTrue(response.text().contains("unavailable"));
        assertEquals(List.of(), platform.orderingService().orders());
    }

    @Test
    void versionIsLoadedFromTheWeightStore() throws IOException {
        String order = "{\"order_id\": \"v\", \"fencing_number\": 1, \"kind\": \"load_version\", \"version\": \"2\"}";
        String engine = platform.engine("lm-1").address();
        assertEquals(202, client.post(engine, "/orders", order, "v").status());
        Await.until(() -> read(engine, "/orders").path("version").asText().equals("2"));
        assertEquals(1, platform.weightStore().log().count());
    }

    @Test
    void pageListsEveryHeaderThatAnUpstreamReceived() throws IOException {
        client.post(platform.plainInstances().get(0).address(), "/payouts", "{}", "attempt-1");
        JsonNode listed = read(platform.receivedRequestsPage().address(), "/").path("upstreams");
        JsonNode entryOfApp1 = null;
        for (JsonNode upstream : listed) {
            entryOfApp1 = upstream.path("upstream").asText().equals("app-1") ? upstream : entryOfApp1;
        }
        assertEquals(3, listed.size());
        assertEquals(
                "attempt-1",
                entryOfApp1
                        .path("requests")
                        .path(0)
                        .path("headers")
                        .path("x-request-id")
                        .asText());
        assertTrue(entryOfApp1.path("header_names").toString().contains("content-type"));
    }

    private JsonNode firstOrder() throws IOException {
        return read(platform.orderingService().address(), ORDERS).path("orders").path(0);
    }

    /** Returns the id and the state of each listed instance, separated by a space. */
    private List<String> listedInstanceStates() throws IOException {
        List<String> found = new ArrayList<>();
        for (JsonNode entry :
                read(platform.instanceList().address(), "/v1/instances").path("instances")) {
            found.add(entry.path("instance_id").asText() + " "
                    + entry.path("state").asText());
        }
        return found;
    }

    private JsonNode read(String address, String path) throws IOException {
        return MAPPER.readTree(client.get(address, path).text());
    }
}
