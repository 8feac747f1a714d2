package org.cactusshift.internal.protocol.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cactusshift.config.UpstreamConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LoadReportTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void parsesAReport() {
        LoadReport report = LoadReport.parse(
                        bytes("{\"age_millis\":40,\"role\":\"decode\",\"running\":3,\"waiting\":2,"
                                + "\"queued_prefill_tokens\":500,\"used_pieces\":4,\"total_pieces\":16,"
                                + "\"prefill_tokens_per_second\":9.5,"
                                + "\"decode_tokens_per_second\":20,\"version\":\"v2\","
                                + "\"changing\":true,\"draining\":true,\"epoch\":7}"),
                        1000)
                .orElseThrow();
        assertEquals(960, report.load().measuredAtMillis());
        assertEquals(UpstreamConfig.Role.DECODE, report.load().role());
        assertEquals(500, report.load().queuedPrefillTokens());
        assertEquals(9.5, report.load().prefillTokensPerSecond());
        assertTrue(report.draining());
        assertEquals(7, report.load().epoch());
        assertEquals("v2", report.version());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{}", "[]", "null", "{\"running\":\"3\"}", "{\"running\":", "ok"})
    void rejectsBodiesThatAreNoLoadReports(String body) {
        assertTrue(LoadReport.parse(bytes(body), 0).isEmpty());
    }

    @Property(tries = 500, seed = "20261203")
    void parsesArbitraryBytesWithoutException(@ForAll byte[] arbitraryBytes, @ForAll long number) {
        LoadReport.parse(arbitraryBytes, 0);
        LoadReport.parse(bytes("{\"running\":" + number + ",\"age_millis\":" + number + "}"), 0)
                .ifPresent(report -> assertTrue(report.load().running() >= 0));
    }
}
