package org.cactusshift.internal.coordination.configsync;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.store.InMemoryKeyValueStore;
import org.cactusshift.internal.coordination.store.StoreFault;

class ConfigRepositoryPropertyTest {
    private static final int CHANGES = 20;

    /** The result that an operator receives agrees with the history under lost, delayed and concurrent writes. */
    @Property(tries = 400, seed = "20261203", shrinking = ShrinkingMode.OFF)
    void resultsAgreeWithTheHistory(@ForAll long seed) throws Exception {
        RandomRun run = new RandomRun(seed);
        run.run();

        assertEquals(List.of(), run.contradictions());
    }

    /** The checker must detect a write that is reported to have had no effect but took effect. */
    @Example
    void checkerDetectsAppliedChangeReportedAsNoEffect() throws Exception {
        int detected = 0;
        for (long seed = 0; seed < 50; seed++) {
            RandomRun run = new RandomRun(seed);
            run.run();
            run.reportUnknownEffectAsNoEffect();
            detected += run.contradictions().isEmpty() ? 0 : 1;
        }
        assertTrue(detected > 0, "no random run reveals the wrong result");
    }

    /**
     * A random sequence of changes, some of them interleaved, on a store with random faults; each change sets a unique
     * weight, by which it is found in the history.
     */
    private static final class RandomRun {
        private final Random random;
        private final InMemoryKeyValueStore store = InMemoryKeyValueStore.create(() -> 0L);
        private final SiteConfig example = SiteConfigs.example();
        private final ConfigRepository repository = ConfigRepository.open(store, example.site());
        private final Map<Double, Either<Failure, ApplyResult>> resultByWeight = new HashMap<>();
        private int startedChanges;
        private int appliesInProgress;

        RandomRun(long seed) throws Exception {
            random = new Random(seed);
        }

        void run() {
            store.setFaultInjector((kind, key) -> {
                maybeInterleave();
                return random.nextInt(8) == 0 ? fault() : StoreFault.NONE;
            });
            while (startedChanges < CHANGES) {
                apply();
            }
            store.setFaultInjector((kind, key) -> StoreFault.NONE);
            store.applyDelayed();
        }

        /**
         * At random, lets another operator apply a whole change between two store calls of the current one, and lets
         * the delayed writes take effect.
         */
        private void maybeInterleave() {
            if (appliesInProgress < 2 && startedChanges < CHANGES && random.nextInt(40) == 0) {
                apply();
            }
            if (random.nextInt(10) == 0) {
                store.applyDelayed();
            }
        }

        private StoreFault fault() {
            StoreFault[] faults = StoreFault.values();
            return faults[random.nextInt(faults.length)];
        }

        private void apply() {
            appliesInProgress++;
            double weight = 100 + startedChanges++;
            // An operator who can't read the head proposes against version 0.
            long baseVersion = repository
                    .readHead()
                    .map(head -> head.map(ConfigHead::version).orElse(0L))
                    .getOrElse(0L);
            resultByWeight.put(
                    weight,
                    repository
                            .apply()
                            .setConfig(SiteConfigs.withWeight(example, "auditors", weight))
                            .setBaseVersion(baseVersion)
                            .call());
            appliesInProgress--;
        }

        void reportUnknownEffectAsNoEffect() {
            resultByWeight.replaceAll((weight, result) ->
                    result.mapLeft(failure -> Failure.noEffect(failure.step(), failure.peer(), failure.message())));
        }

        List<String> contradictions() {
            Map<Double, Long> versionByWeight = new HashMap<>();
            List<String> found = new ArrayList<>();
            long newest = repository.readHead().get().map(ConfigHead::version).orElse(0L);
            for (long version = 1; version <= newest; version++) {
                Long earlier = versionByWeight.put(
                        weightOf(repository.readVersion(version).get()), version);
                if (earlier != null) {
                    found.add("a change is accepted as versions " + earlier + " and " + version);
                }
            }
            resultByWeight.forEach((weight, result) -> check(weight, result, versionByWeight.get(weight), found));
            return found;
        }

        private static void check(
                double weight, Either<Failure, ApplyResult> result, Long version, List<String> found) {
            if (result.isLeft()) {
                if (result.getLeft().kind() != Failure.Kind.UNKNOWN_EFFECT && version != null) {
                    found.add("the change with weight " + weight + " is version " + version
                            + " in the history (null: absent), but its result was " + result);
                }
                return;
            }
            ApplyResult applyResult = result.get();
            boolean applied = applyResult.outcome() == ApplyResult.Outcome.APPLIED;
            if (applied != (version != null) || (applied && applyResult.version() != version)) {
                found.add("the change with weight " + weight + " is version " + version
                        + " in the history (null: absent), but its result was " + result);
            }
        }

        private static double weightOf(VersionedConfig installed) {
            return installed.config().accounts().stream()
                    .filter(account -> account.id().value().equals("auditors"))
                    .findFirst()
                    .orElseThrow()
                    .weight();
        }
    }
}
