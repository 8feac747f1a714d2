package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NodeSettingsReaderTest {
    static final String SETTINGS = "{\"instance\":\"n1\",\"failureDomain\":\"d1\",\"listen\":{"
            + "\"callers\":\"127.0.0.1:1\",\"readiness\":\"127.0.0.1:2\",\"peers\":\"127.0.0.1:3\","
            + "\"metrics\":\"127.0.0.1:4\"},\"keyValueService\":\"127.0.0.1:5\",\"platformService\":null,"
            + "\"retries\":{\"ratio\":0.2,\"extra\":56,\"windowSeconds\":10},\"timing\":{\"leaseMillis\":3000,"
            + "\"usageWindowSeconds\":5,\"configMillis\":2000,\"drainMillis\":2000,\"graceSeconds\":8},\"later\":true}";

    private static NodeSettings read(String json) throws IOException {
        return NodeSettingsReader.read(json.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void fieldsAreReadInMillisecondsAndUnknownFieldsIgnored() throws IOException {
        NodeSettings settings = read(SETTINGS);
        assertEquals("n1", settings.instance().value());
        assertEquals(10_000, settings.retries().windowMillis());
        assertEquals(5_000, settings.timing().usageWindowMillis());
        assertEquals(8_000, settings.timing().graceMillis());
        assertTrue(settings.platformAddress().isEmpty());
    }

    @ParameterizedTest
    @CsvSource({
        "\"instance\", \"other\", instance",
        "\"callers\":\"127.0.0.1:1\", \"callers\":\"127.0.0.1\", listen.callers",
        "\"callers\":\"127.0.0.1:1\", \"callers\":\"127.0.0.1:70000\", listen.callers",
        "\"leaseMillis\":3000, \"leaseMillis\":\"3 s\", timing.leaseMillis",
        "\"ratio\":0.2, \"ratio\":-1, retries.ratio",
        "\"keyValueService\":\"127.0.0.1:5\", \"keyValueService\":7, keyValueService",
    })
    void malformedFieldIsNamedInTheError(String from, String to, String field) {
        String changed = SETTINGS.replace(from, to);
        assertTrue(!changed.equals(SETTINGS), "the text to replace is not in the settings");
        IllegalArgumentException error = assertThrows(IllegalArgumentException.class, () -> read(changed));
        assertTrue(error.getMessage().contains(field), error.getMessage());
    }
}
