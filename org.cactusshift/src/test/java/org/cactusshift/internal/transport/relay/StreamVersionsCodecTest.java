package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.internal.coordination.serving.StreamVersions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StreamVersionsCodecTest {
    @Test
    void recordIsReadAsWritten() {
        StreamVersions versions = new StreamVersions(Map.of(
                ServiceId.fromString("lm"),
                Map.of(
                        SoftwareVersion.fromString("v1"),
                        StreamVersions.Use.RETIRED,
                        SoftwareVersion.UNSTATED,
                        StreamVersions.Use.SERVING)));
        assertEquals(Optional.of(versions), StreamVersionsCodec.decode(StreamVersionsCodec.encode(versions)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"no json", "{\"lm\":{\"v1\":\"IN_DOUBT\"}}", "{\"lm\":{\"v1\":7}}"})
    void malformedRecordIsNoRecord(String text) {
        assertEquals(Optional.empty(), StreamVersionsCodec.decode(text.getBytes(StandardCharsets.UTF_8)));
    }
}
