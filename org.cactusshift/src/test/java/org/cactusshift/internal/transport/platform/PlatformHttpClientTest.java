package org.cactusshift.internal.transport.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.cactusshift.internal.transport.http.CutMessages;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlatformHttpClientTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    @ParameterizedTest
    @CsvSource({
        "LENGTH, CLOSE",
        "LENGTH, RESET",
        "CHUNKS, CLOSE",
        "CHUNKS, RESET",
        "CONNECTION, CLOSE",
        "CONNECTION, RESET"
    })
    void cutResponseOfThePlatformFails(CutMessages.Framing framing, CutMessages.End end) throws Exception {
        try (PlatformHttpClient client = PlatformHttpClient.create(TIMEOUT_MILLIS)) {
            assertEquals(
                    List.of(),
                    CutMessages.misjudgedLengths(
                            framing,
                            end,
                            address -> client.get("test", address, "/x").isRight()));
        }
    }
}
