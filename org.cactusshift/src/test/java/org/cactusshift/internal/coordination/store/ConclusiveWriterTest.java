package org.cactusshift.internal.coordination.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cactusshift.errors.Failure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConclusiveWriterTest {
    private static final String KEY = "k";

    private static final int FAULTY_CALLS = 4;

    private static final int ATTEMPTS = 6;

    private static final int NEVER = -1;

    /** Runs every sequence of faults, with another writer at one call and the delayed writes applied at another. */
    @ParameterizedTest
    @CsvSource({
        // whether the key exists, call before which another writer writes (-1 for none), outcomes
        "true, -1, APPLIED",
        "true, 0, NOT_APPLIED",
        "true, 1, APPLIED REPLACED NOT_APPLIED",
        "true, 2, APPLIED REPLACED NOT_APPLIED",
        "true, 3, APPLIED REPLACED NOT_APPLIED",
        "false, -1, APPLIED",
        "false, 0, NOT_APPLIED UNKNOWN",
        "false, 1, APPLIED REPLACED NOT_APPLIED UNKNOWN",
        "false, 2, APPLIED REPLACED NOT_APPLIED UNKNOWN"
    })
    void reportedOutcomeMatchesTheStoreForEverySequenceOfFaults(boolean present, int interferingCall, String outcomes) {
        Set<WriteResult.Outcome> seen = EnumSet.noneOf(WriteResult.Outcome.class);
        int sequences = (int) Math.pow(StoreFault.values().length, FAULTY_CALLS);
        for (int sequence = 0; sequence < sequences; sequence++) {
            for (int applyingCall = NEVER; applyingCall < FAULTY_CALLS; applyingCall++) {
                seen.add(runOne(new Case(present, interferingCall, sequence, applyingCall)));
            }
        }
        Set<WriteResult.Outcome> expected = Arrays.stream(outcomes.split(" "))
                .map(WriteResult.Outcome::valueOf)
                .collect(Collectors.toSet());
        assertEquals(expected, seen);
    }

    private static WriteResult.Outcome runOne(Case testCase) {
        Harness harness = new Harness(testCase);
        Optional<VersionedValue> replaced = harness.prepare();
        ConclusiveWriter writer = ConclusiveWriter.create(harness.store, () -> "mine", ATTEMPTS, attempt -> {});
        WriteResult result = writer.write(KEY, replaced, new byte[] {1}, LeaseGrant.NONE);
        boolean appliedAtReturn = harness.isApplied();
        harness.store.applyDelayed();
        switch (result.outcome()) {
            case APPLIED, REPLACED -> assertTrue(appliedAtReturn, testCase::toString);
            case NOT_APPLIED -> assertEquals(false, harness.isApplied(), testCase::toString);
            // Only a write that expects an absent key may stay without a known outcome.
            default -> assertEquals(false, testCase.present, testCase::toString);
        }
        if (result.isApplied()) {
            assertEquals(harness.appliedAtRevision.get("mine"), result.revision(), testCase::toString);
        }
        return result.outcome();
    }

    @Test
    void writeThatCannotBeReadBackIsUnknown() {
        Harness harness = new Harness(new Case(true, NEVER, 0, NEVER));
        Optional<VersionedValue> replaced = harness.prepare();
        harness.store.setFaultInjector((kind, key) -> StoreFault.LOSE_REQUEST);
        ConclusiveWriter writer = ConclusiveWriter.create(harness.store, () -> "mine", ATTEMPTS, attempt -> {});
        WriteResult result = writer.write(KEY, replaced, new byte[] {1}, LeaseGrant.NONE);
        assertEquals(WriteResult.Outcome.UNKNOWN, result.outcome());
        assertEquals(Failure.Kind.NO_EFFECT, result.failure().orElseThrow().kind());
    }

    @Test
    void writeRefusedAtEveryAttemptIsNotApplied() {
        Harness harness = new Harness(new Case(true, NEVER, 0, NEVER));
        Optional<VersionedValue> replaced = harness.prepare();
        harness.store.setFaultInjector((kind, key) -> StoreFault.UNAVAILABLE);
        ConclusiveWriter writer = ConclusiveWriter.create(harness.store, () -> "mine", ATTEMPTS, attempt -> {});
        assertEquals(
                WriteResult.Outcome.NOT_APPLIED,
                writer.write(KEY, replaced, new byte[] {1}, LeaseGrant.NONE).outcome());
    }

    @Test
    void updateReadsAgainAfterAnotherWrite() {
        Harness harness = new Harness(new Case(true, 1, 0, NEVER));
        harness.prepare();
        ConclusiveWriter writer = ConclusiveWriter.create(harness.store, harness::nextToken, ATTEMPTS, attempt -> {});
        WriteResult result = writer.update(
                KEY, payload -> payload.map(bytes -> new byte[] {(byte) (bytes[0] + 1)}), LeaseGrant.NONE);
        assertEquals(WriteResult.Outcome.APPLIED, result.outcome());
        VersionedValue stored = harness.store.get(KEY).get().orElseThrow();
        assertArrayEquals(new byte[] {Harness.OTHER_PAYLOAD + 1}, ConclusiveWriter.payloadOf(stored));
    }

    @ParameterizedTest
    @CsvSource({
        "NONE, false",
        "LOSE_REQUEST, false",
        "LOSE_ANSWER, false",
        "DELAY_EFFECT, false",
        "NONE, true",
        "UNAVAILABLE, true",
        "LOSE_REQUEST, true"
    })
    void deletionIsAppliedUnlessAnotherWriteCameFirst(StoreFault fault, boolean interfered) {
        Harness harness = new Harness(new Case(true, interfered ? 0 : NEVER, fault.ordinal(), NEVER));
        VersionedValue value = harness.prepare().orElseThrow();
        ConclusiveWriter writer = ConclusiveWriter.create(harness.store, () -> "mine", ATTEMPTS, attempt -> {});
        assertEquals(!interfered, writer.delete(value).isApplied());
        harness.store.applyDelayed();
        assertNotEquals(!interfered, harness.store.get(KEY).get().isPresent());
    }

    /**
     * One test case.
     *
     * @param present whether the key exists before the write
     * @param interferingCall the call before which another writer writes
     * @param faults the faults of the first calls, encoded as the digits of a number
     * @param applyingCall the call before which delayed writes are applied
     */
    private record Case(boolean present, int interferingCall, int faults, int applyingCall) {
        StoreFault faultOf(int call) {
            if (call >= FAULTY_CALLS) {
                return StoreFault.NONE;
            }
            int kinds = StoreFault.values().length;
            return StoreFault.values()[faults / (int) Math.pow(kinds, call) % kinds];
        }
    }

    /** A store with the faults of one test case, and the revisions at which writes were applied. */
    private static final class Harness {
        private static final byte OTHER_PAYLOAD = 50;

        private final InMemoryKeyValueStore store = InMemoryKeyValueStore.create(() -> 0);

        private final Map<String, Long> appliedAtRevision = new HashMap<>();

        private final Case testCase;

        private int calls;

        private boolean otherWriterActive;

        private int tokens;

        Harness(Case testCase) {
            this.testCase = testCase;
            store.watch(KEY, 1, new RecordingListener(appliedAtRevision));
        }

        Optional<VersionedValue> prepare() {
            if (testCase.present) {
                writeAsOther("before");
            }
            Optional<VersionedValue> replaced = store.get(KEY).get();
            store.setFaultInjector(faults());
            return replaced;
        }

        StoreFaultInjector faults() {
            return (kind, key) -> otherWriterActive ? StoreFault.NONE : nextFault();
        }

        String nextToken() {
            tokens++;
            return "t" + tokens;
        }

        boolean isApplied() {
            return appliedAtRevision.containsKey("mine");
        }

        private StoreFault nextFault() {
            int call = calls++;
            otherWriterActive = true;
            if (call == testCase.applyingCall) {
                store.applyDelayed();
            }
            if (call == testCase.interferingCall) {
                writeAsOther("other");
            }
            otherWriterActive = false;
            return testCase.faultOf(call);
        }

        private void writeAsOther(String token) {
            ConclusiveWriter other = ConclusiveWriter.create(store, () -> token, 1, attempt -> {});
            other.update(KEY, payload -> Optional.of(new byte[] {OTHER_PAYLOAD}), LeaseGrant.NONE);
        }
    }

    /** Records the revision at which each writer's value was written. */
    private record RecordingListener(Map<String, Long> appliedAtRevision) implements WatchListener {
        @Override
        public void onChange(String key, Optional<VersionedValue> value, long revision) {
            value.flatMap(written -> ValueEnvelope.decode(written.value()))
                    .ifPresent(envelope ->
                            appliedAtRevision.put(envelope.marks().get(0).writerToken(), revision));
        }

        @Override
        public void onProgress(long revision) {
            // The test checks only the changes.
        }

        @Override
        public void onEnd(Failure failure) {
            throw new IllegalStateException(failure.toString());
        }
    }
}
