package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.quota.QuotaGrant;
import org.cactusshift.internal.coordination.quota.QuotaRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class QuotaMessageTest {
    @Test
    void messagesAreDecodedAsTheyWereEncoded() {
        AccountId account = AccountId.fromString("a");
        QuotaRequest request =
                new QuotaRequest(InstanceId.fromString("n"), IncarnationId.fromString("i"), account, 5, 3, 2, true, 9);
        QuotaGrant grant = new QuotaGrant(account, 9, 5, 2_000, 80);
        assertEquals(Optional.of(request), QuotaMessage.decodeRequest(QuotaMessage.encode(request)));
        assertEquals(Optional.of(grant), QuotaMessage.decodeGrant(QuotaMessage.encode(grant)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "q", "quotaGrant a 1 2 3", "quotaGrant a 1 -2 3 4", "quotaRequest n i a 1 2 3 true x"})
    void otherBytesAreNoMessage(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        assertTrue(QuotaMessage.decodeRequest(bytes).isEmpty());
        assertTrue(QuotaMessage.decodeGrant(bytes).isEmpty());
    }
}
