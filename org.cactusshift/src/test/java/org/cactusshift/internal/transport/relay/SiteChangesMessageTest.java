package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.cactusshift.internal.coordination.serving.SiteChanges;
import org.cactusshift.internal.coordination.store.KeyChange;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SiteChangesMessageTest {
    @Test
    void changesAreReadAsWritten() {
        byte[] value = {0, 1, -1, 'x'};
        SiteChanges changes = new SiteChanges(
                4,
                3,
                9,
                40,
                List.of(
                        new KeyChange("k", Optional.of(new VersionedValue("k", value, 4, 7)), 7),
                        new KeyChange("gone", Optional.empty(), 9)));
        SiteChanges read =
                SiteChangesMessage.decode(SiteChangesMessage.encode(changes)).orElseThrow();
        assertEquals(4, read.era());
        assertEquals(3, read.fromRevision());
        assertEquals(9, read.toRevision());
        assertEquals(40, read.ageMillis());
        assertEquals(changes.changes().get(1), read.changes().get(1));
        VersionedValue readValue = read.changes().get(0).value().orElseThrow();
        assertArrayEquals(value, readValue.value());
        assertEquals(4, readValue.createRevision());
        assertEquals(7, readValue.modRevision());
    }

    /** Guards against nodes that understand no message of the build that ran before this one. */
    @Test
    void messageOfABuildThatKnowsNoErasIsRead() {
        byte[] message = "C{\"from\":1,\"to\":2,\"ageMillis\":3,\"changes\":[]}".getBytes(StandardCharsets.UTF_8);
        SiteChanges read = SiteChangesMessage.decode(message).orElseThrow();
        assertEquals(SiteChanges.UNKNOWN_ERA, read.era());
        assertEquals(2, read.toRevision());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "T r1 v1", "{}", "Cno json", "C{}", "C{\"from\":1}", "C{\"from\":\"1\",\"to\":2}"})
    void otherMessagesAreLeftToOthers(String text) {
        assertEquals(Optional.empty(), SiteChangesMessage.decode(text.getBytes(StandardCharsets.UTF_8)));
    }
}
