package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.cactusshift.internal.coordination.store.KeyChange;
import org.cactusshift.internal.coordination.store.StorePosition;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.junit.jupiter.api.Test;

class RecentChangesTest {
    private final RecentChanges recent = RecentChanges.create();

    private static StorePosition at(long revision) {
        return new StorePosition(2, revision);
    }

    private static KeyChange change(String key, long revision, int bytes) {
        return new KeyChange(key, Optional.of(new VersionedValue(key, new byte[bytes], revision, revision)), revision);
    }

    private static List<String> keys(SiteChanges changes) {
        return changes.changes().stream().map(KeyChange::key).toList();
    }

    /** A node that missed a message can use one of the next two. */
    @Test
    void messageHoldsTheChangesOfTheLastThreeReads() {
        recent.onRead(at(1), at(5), List.of(change("a", 3, 1)), 0);
        recent.onRead(at(5), at(9), List.of(change("b", 7, 1)), 0);
        recent.onRead(at(9), at(12), List.of(), 0);
        SiteChanges told = recent.onRead(at(12), at(14), List.of(change("c", 14, 1)), 20);
        assertEquals(List.of("b", "c"), keys(told));
        assertEquals(5, told.fromRevision());
        assertEquals(14, told.toRevision());
        assertEquals(20, told.ageMillis());
    }

    /** Guards against a message that claims to be complete although the changes of another node's read are missing. */
    @Test
    void readsBeforeAGapAreForgotten() {
        recent.onRead(at(1), at(5), List.of(change("a", 3, 1)), 0);
        SiteChanges told = recent.onRead(at(8), at(9), List.of(change("b", 9, 1)), 0);
        assertEquals(List.of("b"), keys(told));
        assertEquals(8, told.fromRevision());
    }

    /** Guards against changes of two eras in one message, as their revisions overlap. */
    @Test
    void readsOfAnEarlierEraAreForgotten() {
        recent.onRead(new StorePosition(1, 1), new StorePosition(1, 5), List.of(change("a", 3, 1)), 0);
        SiteChanges told = recent.onRead(at(5), at(9), List.of(change("b", 7, 1)), 0);
        assertEquals(List.of("b"), keys(told));
        assertEquals(2, told.era());
    }

    @Test
    void readsBeforeAListAreForgotten() {
        recent.onRead(at(1), at(5), List.of(change("a", 3, 1)), 0);
        recent.clear();
        assertEquals(5, recent.onRead(at(5), at(9), List.of(), 0).fromRevision());
    }

    /** A configuration may be longer than a datagram: other nodes read it themselves. */
    @Test
    void changesThatAreTooLongAreLeftOut() {
        recent.onRead(at(1), at(5), List.of(change("a", 3, 1)), 0);
        SiteChanges told = recent.onRead(at(5), at(9), List.of(change("config", 9, 20_000)), 0);
        assertEquals(List.of(), told.changes());
        assertEquals(9, told.fromRevision());
        assertEquals(9, recent.onRead(at(9), at(12), List.of(), 0).fromRevision());
    }
}
