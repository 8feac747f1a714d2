package org.cactusshift.internal.coordination.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class KeyValueStateTest {
    private static final byte[] VALUE = {1};

    private static final long TTL_MILLIS = 100;

    private final KeyValueState state = KeyValueState.create(4);

    static Stream<Arguments> comparisons() {
        return Stream.of(
                Arguments.of("absent key, revision 0", false, 0, true),
                Arguments.of("absent key, other revision", false, 2, false),
                Arguments.of("present key, its revision", true, 2, true),
                Arguments.of("present key, revision 0", true, 0, false),
                Arguments.of("present key, later revision", true, 3, false));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("comparisons")
    void swapComparesTheModRevision(String name, boolean present, long expected, boolean applied) {
        if (present) {
            put("a", 0, 0);
        }
        SwapResult result = state.compareAndSwap("a", expected, VALUE, 0).get();
        assertEquals(applied, result.isApplied());
        assertEquals((present ? 2 : 1) + (applied ? 1 : 0), state.revision());
        assertEquals(!applied && present, result.current().isPresent());
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("comparisons")
    void deletionComparesTheModRevision(String name, boolean present, long expected, boolean applied) {
        if (present) {
            put("a", 0, 0);
        }
        assertEquals(applied, state.compareAndDelete("a", expected).isApplied());
        assertEquals(present && !applied, state.get("a").isPresent());
    }

    @Test
    void expiryDeletesTheKeysOfTheLeaseAtOneRevision() {
        long lease = state.grantLease(TTL_MILLIS, 0).leaseId();
        put("a", 0, lease);
        put("b", 0, lease);
        put("c", 0, 0);
        assertEquals(0, state.expireLeases(TTL_MILLIS - 1));
        assertEquals(1, state.expireLeases(TTL_MILLIS));
        assertEquals(List.of("c"), keys());
        assertEquals(5, state.revision());
        assertEquals(
                List.of("a", "b"),
                state.changes("", 5).get().stream().map(KeyChange::key).toList());
    }

    @Test
    void renewalExtendsTheLeaseAndAnExpiredLeaseIsRejected() {
        long lease = state.grantLease(TTL_MILLIS, 0).leaseId();
        put("a", 0, lease);
        assertTrue(state.keepAlive(lease, TTL_MILLIS - 1).isRight());
        state.expireLeases(TTL_MILLIS);
        assertEquals(List.of("a"), keys());
        assertTrue(state.keepAlive(lease, 2 * TTL_MILLIS - 1).isLeft());
        assertTrue(state.compareAndSwap("b", 0, VALUE, lease + 1).isLeft());
    }

    @Test
    void writeWithoutTheLeaseDetachesTheKey() {
        long lease = state.grantLease(TTL_MILLIS, 0).leaseId();
        put("a", 0, lease);
        put("a", 2, 0);
        state.revokeLease(lease);
        assertEquals(List.of("a"), keys());
    }

    @Test
    void readOfCompactedHistoryIsRejected() {
        for (int i = 0; i < 6; i++) {
            put("k" + i, 0, 0);
        }
        assertTrue(state.changes("", 3).isLeft());
        assertEquals(4, state.changes("", 4).get().size());
        assertEquals(1, state.changes("k5", 4).get().size());
    }

    private void put(String key, long expected, long lease) {
        assertTrue(state.compareAndSwap(key, expected, VALUE, lease).get().isApplied());
    }

    private List<String> keys() {
        return state.list("").values().stream().map(VersionedValue::key).toList();
    }
}
