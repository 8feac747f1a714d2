package org.cactusshift.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StandInPlainServiceTest {
    private static final String BODY = "{\"payment_id\": \"p1\", \"amount_cents\": 100}";

    private final StandInClient client = StandInClient.create();

    private final StandInPlainService first = StandInPlainService.create(PlainServiceSettings.standard());

    private final StandInPlainService second = StandInPlainService.create(PlainServiceSettings.standard());

    @BeforeEach
    void start() throws IOException {
        first.start();
        second.start();
    }

    @AfterEach
    void stop() {
        client.close();
        first.close();
        second.close();
    }

    @Test
    void callWithDroppedResponseExecutesTwiceWhenRetriedElsewhere() throws IOException {
        first.faults().dropResponses(1);
        assertThrows(IOException.class, () -> client.post(first.address(), "/payouts", BODY, "a1"));
        assertEquals(200, client.post(second.address(), "/payouts", BODY, "a2").status());
        assertEquals(Map.of("p1", 2), StandInPlainService.executionCountByPaymentId(List.of(first, second)));
        assertEquals(
                ReceivedRequest.Outcome.ANSWER_DROPPED,
                first.log().withAttemptId("a1").get(0).outcome());
    }

    @Test
    void failingServiceExecutesCallAndReturnsServerError() throws IOException {
        first.faults().setFailing(true);
        assertEquals(500, client.post(first.address(), "/payouts", BODY, "a1").status());
        assertEquals(Map.of("p1", 1), StandInPlainService.executionCountByPaymentId(List.of(first)));
    }

    @Test
    void refusedAndCrashingCallsDoNotExecute() throws IOException {
        first.faults().setRefusingNewWork(true);
        assertEquals(503, client.post(first.address(), "/payouts", BODY, "a1").status());
        second.faults().setCrashMarker(Optional.of("p1"));
        assertThrows(IOException.class, () -> client.post(second.address(), "/transfers", BODY, "a2"));
        assertThrows(IOException.class, () -> client.get(second.address(), "/balance/x"));
        assertEquals(Map.of(), StandInPlainService.executionCountByPaymentId(List.of(first, second)));
        second.start();
        assertEquals(200, client.get(second.address(), "/balance/x").status());
    }
}
