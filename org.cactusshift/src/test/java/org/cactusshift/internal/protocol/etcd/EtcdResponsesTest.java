package org.cactusshift.internal.protocol.etcd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link EtcdResponses} and {@link EtcdEncoding}. */
class EtcdResponsesTest {
    private static final String HEADER = "\"header\": {\"revision\": \"9\"}";

    @ParameterizedTest
    @CsvSource({"'', AA==, AA==", "a, YQ==, Yg==", "a/, YS8=, YTA="})
    void encodesAPrefixAsAKeyRange(String prefix, String start, String end) {
        assertEquals(start, EtcdEncoding.rangeStart(prefix));
        assertEquals(end, EtcdEncoding.rangeEnd(prefix));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{}",
                "{\"header\": {\"revision\": \"x\"}}",
                "{" + HEADER + ", \"kvs\": [{\"key\": \"%\"}]}"
            })
    void malformedResponseIsAnError(String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        assertThrows(EtcdFormatException.class, () -> EtcdResponses.rangeResult(bytes));
    }

    @ParameterizedTest
    @CsvSource({"'\"TTL\": \"5\"', 5000", "'\"TTL\": \"0\"', 0", "'\"x\": 0', 0"})
    void renewalIsEmptyWhenTheTtlIsZeroOrMissing(String ttlMember, long ttlMillis) throws EtcdFormatException {
        String body = "{\"result\": {" + HEADER + ", \"ID\": \"7\", " + ttlMember + "}}";
        Optional<LeaseGrant> renewed = EtcdResponses.keepAlive(body.getBytes(StandardCharsets.UTF_8));
        assertEquals(ttlMillis == 0 ? Optional.empty() : Optional.of(new LeaseGrant(7, ttlMillis)), renewed);
    }

    @Test
    void deliveredRevisionIsThatOfTheLastChangeOrOfTheHeader() throws EtcdFormatException {
        String event = "{\"kv\": {\"key\": \"YQ==\", \"mod_revision\": \"4\", \"value\": \"AA==\"}}";
        EtcdWatchMessage message =
                EtcdResponses.watchMessage("{\"result\": {" + HEADER + ", \"events\": [" + event + "]}}");
        assertEquals(4, message.deliveredRevision());
        assertEquals(
                9, EtcdResponses.watchMessage("{\"result\": {" + HEADER + "}}").deliveredRevision());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"result\": {" + HEADER + ", \"canceled\": true, \"compact_revision\": \"3\"}}",
                "{\"error\": {\"message\": \"no leader\"}}"
            })
    void canceledWatchHasAReason(String line) throws EtcdFormatException {
        // An error message counts as the end of the watch, too.
        assertTrue(EtcdResponses.watchMessage(line).canceled().isPresent());
    }
}
