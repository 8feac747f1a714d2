package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.SoftwareVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StreamOriginMessageTest {
    @ParameterizedTest
    @ValueSource(strings = {"v1", "", "1.2 beta", "-"})
    void messageIsDecodedAsItWasEncoded(String version) {
        StreamOriginMessage told =
                new StreamOriginMessage(RequestId.fromString("r1"), Optional.of(SoftwareVersion.fromString(version)));
        StreamOriginMessage asked = new StreamOriginMessage(RequestId.fromString("r1"), Optional.empty());
        assertEquals(Optional.of(told), StreamOriginMessage.decode(told.encode()));
        assertEquals(Optional.of(asked), StreamOriginMessage.decode(asked.encode()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "T", "T r1", "T  v1", "A ", "A r 1", "{}", "X r1 v1"})
    void otherBytesAreNoMessage(String text) {
        assertTrue(StreamOriginMessage.decode(text.getBytes(StandardCharsets.UTF_8))
                .isEmpty());
    }
}
