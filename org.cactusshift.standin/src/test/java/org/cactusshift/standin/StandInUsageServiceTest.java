package org.cactusshift.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

class StandInUsageServiceTest {
    private static final String FIRST = "{\"window\": \"w1\", \"shard\": \"s\", \"counts\": [{\"account\": \"a\","
            + " \"service\": \"m\", \"prompt_tokens\": 10, \"completion_tokens\": 4, \"requests\": 1,"
            + " \"late_prompt_tokens\": 2, \"late_completion_tokens\": 1}]}";

    private static final String OTHER = FIRST.replace("10", "11");

    private static final String OTHER_SHARD = FIRST.replace("\"s\"", "\"t\"");

    @Test
    void acceptsRepeatedReportAndRecordsConflictingReport() throws IOException {
        try (StandInUsageService service = StandInUsageService.create(0);
                StandInClient client = StandInClient.create()) {
            service.start();
            service.faults().dropResponses(1);
            String path = "/v1/usage-windows/w1";
            assertThrows(IOException.class, () -> client.post(service.address(), path, FIRST, "r0"));
            assertEquals(200, client.post(service.address(), path, FIRST, "r1").status());
            assertEquals(409, client.post(service.address(), path, OTHER, "r2").status());
            assertEquals(
                    200, client.post(service.address(), path, OTHER_SHARD, "r3").status());
            assertEquals(List.of("w1/s"), service.conflictingReports());
            assertEquals(
                    List.of(2, 1),
                    service.reports().stream()
                            .map(ReceivedUsageReport::reportCount)
                            .toList());
            assertEquals(
                    new UsageTotals(24, 10, 2, 6), service.totalsByAccount().get("a"));
        }
    }
}
