package org.cactusshift.internal.transport.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cactusshift.internal.protocol.etcd.EtcdRequest;
import org.cactusshift.internal.transport.http.CutMessages;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StoreConnectionTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    private static final EtcdRequest REQUEST = new EtcdRequest("/v3/kv/range", "{}".getBytes(StandardCharsets.UTF_8));

    @ParameterizedTest
    @CsvSource({
        "LENGTH, CLOSE",
        "LENGTH, RESET",
        "CHUNKS, CLOSE",
        "CHUNKS, RESET",
        "CONNECTION, CLOSE",
        "CONNECTION, RESET"
    })
    void cutResponseOfTheStoreFails(CutMessages.Framing framing, CutMessages.End end) throws Exception {
        assertEquals(List.of(), CutMessages.misjudgedLengths(framing, end, address -> {
            StoreConnection connection = StoreConnection.open(address, TIMEOUT_MILLIS);
            try {
                connection.exchange(REQUEST, TIMEOUT_MILLIS);
                return true;
            } catch (IOException e) {
                return false;
            } finally {
                connection.abort();
            }
        }));
    }
}
