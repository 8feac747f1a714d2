package org.cactusshift.internal.coordination.configsync;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.KeyId;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;
import org.cactusshift.internal.coordination.store.StoreCallKind;
import org.cactusshift.internal.coordination.store.StoreFault;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class ConfigRepositoryTest {
    private static final int STORE_VALUE_LIMIT_BYTES = 1_000_000;

    private final InMemoryKeyValueStore store = InMemoryKeyValueStore.create(() -> 0L);
    private SiteConfig example;
    private ConfigRepository repository;

    @BeforeEach
    void openRepository() throws Exception {
        example = SiteConfigs.example();
        repository = ConfigRepository.open(store, example.site());
    }

    @Test
    void appliesAndReadsBackEachVersion() {
        assertTrue(repository.readCurrent().get().isEmpty());
        assertEquals(ApplyResult.Outcome.APPLIED, apply(example, 0).outcome());
        SiteConfig second = SiteConfigs.withWeight(example, "auditors", 3);
        assertEquals(2, apply(second, 1).version());

        assertEquals(
                new VersionedConfig(2, second), repository.readCurrent().get().get());
        assertEquals(new VersionedConfig(1, example), repository.readVersion(1).get());
        assertEquals(
                List.of(2L, 1L),
                repository.readHistory().get().stream().map(ConfigHead::version).toList());
        assertEquals(ApplyResult.Outcome.UNCHANGED, apply(second, 2).outcome());
    }

    @Test
    void rejectsConflictingEditAndReturnsDifferences() {
        apply(example, 0);
        apply(SiteConfigs.withWeight(example, "auditors", 3), 1);
        ApplyResult late = apply(SiteConfigs.withWeight(example, "auditors", 5), 1);

        assertEquals(ApplyResult.Outcome.CONFLICT, late.outcome());
        assertEquals(2, late.version());
        assertEquals(List.of(new ConfigDifference("/accounts/auditors/weight", "3.0", "5.0")), late.differences());
        assertEquals(2, repository.readHead().get().get().version());
    }

    @ParameterizedTest
    @EnumSource(names = {"LOSE_ANSWER", "LOSE_REQUEST", "DELAY_EFFECT", "UNAVAILABLE"})
    void changeIsAppliedOnceAlthoughOneOfItsWritesFails(StoreFault fault) {
        apply(example, 0);
        // The head copied into the history, one part, the index and the new head.
        int writes = 4;
        for (int faulty = 0; faulty < writes; faulty++) {
            SiteConfig next = SiteConfigs.withWeight(example, "auditors", faulty + 10);
            long baseVersion = repository.readHead().get().get().version();
            failWrite(faulty, fault);
            ApplyResult result = apply(next, baseVersion);
            store.setFaultInjector((kind, key) -> StoreFault.NONE);
            store.applyDelayed();

            assertEquals(ApplyResult.Outcome.APPLIED, result.outcome());
            assertEquals(
                    new VersionedConfig(baseVersion + 1, next),
                    repository.readCurrent().get().get());
        }
    }

    @Test
    void unknownEffectIsReportedWhenEveryResponseToTheHeadWriteIsLost() {
        apply(example, 0);
        store.setFaultInjector(
                (kind, key) -> kind.isWrite() && key.endsWith("head") ? StoreFault.LOSE_ANSWER : StoreFault.NONE);
        Either<Failure, ApplyResult> result =
                command(SiteConfigs.withWeight(example, "auditors", 9), 1).call();

        assertEquals(Failure.Kind.UNKNOWN_EFFECT, result.getLeft().kind());
    }

    @Test
    void recognisesOwnWriteInTheHistoryAfterALaterChange() {
        apply(example, 0);
        SiteConfig own = SiteConfigs.withWeight(example, "auditors", 9);
        SiteConfig later = SiteConfigs.withWeight(example, "auditors", 10);
        boolean[] ownHeadWritten = {false};
        store.setFaultInjector((kind, key) -> {
            if (kind == StoreCallKind.SWAP && key.endsWith("head") && !ownHeadWritten[0]) {
                ownHeadWritten[0] = true;
                return StoreFault.LOSE_ANSWER;
            }
            if (kind == StoreCallKind.SWAP && key.endsWith("head") && ownHeadWritten[0]) {
                store.setFaultInjector((k, n) -> StoreFault.NONE);
                apply(later, 2);
            }
            return StoreFault.NONE;
        });

        assertEquals(ApplyResult.Outcome.APPLIED, apply(own, 1).outcome());
        assertEquals(
                new VersionedConfig(3, later), repository.readCurrent().get().get());
    }

    @Test
    void headListsRevokedKeysUntilTheyAreRestored() {
        apply(example, 0);
        apply(SiteConfigs.withRevokedKey(example, "auditors-1"), 1);
        apply(SiteConfigs.withRevokedKey(SiteConfigs.withRevokedKey(example, "auditors-1"), "fund-clerks-1"), 2);
        assertEquals(
                List.of(KeyId.fromString("fund-clerks-1"), KeyId.fromString("auditors-1")),
                repository.readHead().get().get().withdrawnKeys());
        apply(example, 3);
        assertEquals(List.of(), repository.readHead().get().get().withdrawnKeys());
    }

    @Test
    void retainsBoundedHistoryWithAllItsParts() {
        int versions = ConfigRepository.HISTORY_VERSIONS + 20;
        for (int i = 0; i < versions; i++) {
            apply(SiteConfigs.withWeight(example, "auditors", 1 + i % 7), i);
        }
        List<ConfigHead> history = repository.readHistory().get();
        assertEquals(ConfigRepository.HISTORY_VERSIONS, history.size());
        history.forEach(head ->
                assertTrue(repository.readVersion(head.version()).isRight(), () -> "version " + head.version()));
        // Each version adds one part; the other parts of the example are stored once.
        int parts =
                store.list("cactusshift/be-coast/config/parts/").get().values().size();
        assertTrue(parts <= ConfigRepository.HISTORY_VERSIONS + 8, () -> parts + " parts are stored");
    }

    @ParameterizedTest
    @CsvSource({"8,0", "7700,0", "7700,1100", "15400,12000"})
    void everyValueFitsTheStore(int accounts, int upstreams) {
        SiteConfig large = SiteConfigs.withAccountsAndUpstreams(example, accounts, upstreams);
        apply(large, 0);

        assertEquals(
                new VersionedConfig(1, large), repository.readCurrent().get().get());
        for (VersionedValue value : store.list("").get().values()) {
            assertTrue(value.value().length < STORE_VALUE_LIMIT_BYTES, value::key);
        }
    }

    @ParameterizedTest
    @CsvSource({
        // accounts, previous versions, store calls of one change; beyond 50 versions it also deletes the oldest one
        "8, 1, 7",
        "7700, 1, 7",
        "8, 60, 17",
    })
    void callsOfOneChangeDoNotGrowWithAccounts(int accounts, int versions, int expectedCalls) {
        SiteConfig large = SiteConfigs.withAccountsAndUpstreams(example, accounts, 0);
        for (int version = 0; version < versions; version++) {
            apply(SiteConfigs.withWeight(large, "account-00005", version + 5), version);
        }
        List<String> calls = new ArrayList<>();
        store.setFaultInjector((kind, key) -> {
            calls.add(kind + " " + key);
            return StoreFault.NONE;
        });
        apply(SiteConfigs.withWeight(large, "account-00005", 2), versions);

        assertEquals(expectedCalls, calls.size(), calls::toString);
    }

    private void failWrite(int number, StoreFault fault) {
        int[] writes = {0};
        store.setFaultInjector(
                (kind, key) -> kind == StoreCallKind.SWAP && writes[0]++ == number ? fault : StoreFault.NONE);
    }

    private ApplyResult apply(SiteConfig config, long baseVersion) {
        return command(config, baseVersion).call().get();
    }

    private ApplyConfigCommand command(SiteConfig config, long baseVersion) {
        return repository
                .apply()
                .setConfig(config)
                .setBaseVersion(baseVersion)
                .setAuthor("operator")
                .setComment("test")
                .setAcceptedEpochMillis(1);
    }
}
