package org.cactusshift.internal.transport.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicReference;
import org.cactusshift.internal.transport.http.ScriptedServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a late copy of an earlier response that passes for the response to a call (issue 49). */
class RepeatedServiceResponseTest {
    private static final String PAY_PATH = "/services/settle-app/pay?crew=1";

    /** The request that the copy names. */
    enum Naming {
        EARLIER,
        NONE,
        BOTH;

        String headers(String earlierId, String id) {
            return switch (this) {
                case EARLIER -> nameOf(earlierId);
                case NONE -> "";
                case BOTH -> nameOf(id) + nameOf(earlierId);
            };
        }
    }

    private static String nameOf(String id) {
        return "X-Request-Id: " + id + "\r\n";
    }

    @ParameterizedTest
    @CsvSource({
        "true, 201, EARLIER",
        "true, 201, NONE",
        "true, 201, BOTH",
        "true, 503, EARLIER",
        "true, 503, NONE",
        "true, 503, BOTH",
        "false, 201, EARLIER",
        "false, 201, NONE",
        "false, 503, EARLIER",
        "false, 503, NONE"
    })
    void lateCopyOfAnEarlierResponseIsNotTheResponseToACall(boolean isNamed, int copiedStatus, Naming naming)
            throws Exception {
        AtomicReference<ScriptedServer.Received> earlier = new AtomicReference<>();
        try (ScriptedServer service = ScriptedServer.start((request, socket, out) -> {
                    String id = request.header("X-Request-Id");
                    ScriptedServer.Received first = earlier.getAndSet(request);
                    if (first == null) {
                        ScriptedServer.writeResponse(out, 201, isNamed ? nameOf(id) : "", "first");
                        return;
                    }
                    if (first.connection() == request.connection()) {
                        String headers = naming.headers(first.header("X-Request-Id"), id);
                        String notRun = copiedStatus == 503 ? "X-Not-Run: true\r\n" : "";
                        ScriptedServer.writeResponse(out, copiedStatus, headers + notRun, "first");
                    }
                    ScriptedServer.writeResponse(out, 201, isNamed ? nameOf(id) : "", "second");
                });
                GatewayFixture gateway = GatewayFixture.withServices(service.address())) {
            assertEquals("first", gateway.post(PAY_PATH, "1").body());
            HttpResponse<String> response = gateway.post(PAY_PATH, "2");
            assertEquals("201 second", response.statusCode() + " " + response.body());
            assertEquals(2, service.receivedRequests().size());
        }
    }
}
