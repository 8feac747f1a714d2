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

    /** Whatever is lost, delayed or overtaken, what an operator is told agrees with the history. */
    @Property(tries = 400, seed = "20261203", shrinking = ShrinkingMode.OFF)
    void answersAgreeWithTheHistory(@ForAll long seed) throws Exception {
        Schedule schedule = new Schedule(seed);
        schedule.run();

        assertEquals(List.of(), schedule.contradictions());
    }

    /** The checker must notice an operator who is told "no effect" about a write that took effect. */
    @Example
    void checkerDetectsLostAnswerReportedAsNoEffect() throws Exception {
        int caught = 0;
        for (long seed = 0; seed < 50; seed++) {
            Schedule schedule = new Schedule(seed);
            schedule.run();
            schedule.reportUnknownEffectAsNoEffect();
            caught += schedule.contradictions().isEmpty() ? 0 : 1;
        }
        assertTrue(caught > 0, "no schedule shows the fault");
    }

    /** Operators who apply changes, each told apart by its weight, over a store with random faults. */
    private static final class Schedule {
        private final Random random;
        private final InMemoryKeyValueStore store = InMemoryKeyValueStore.create(() -> 0L);
        private final SiteConfig example = SiteConfigs.example();
        private final ConfigRepository repository = ConfigRepository.open(store, example.site());
        private final Map<Double, Either<Failure, ApplyResult>> answers = new HashMap<>();
        private int started;
        private int nestedApplies;

        Schedule(long seed) throws Exception {
            random = new Random(seed);
        }

        void run() {
            store.setFaultInjector((kind, key) -> {
                maybeInterleave();
                return random.nextInt(8) == 0 ? fault() : StoreFault.NONE;
            });
            while (started < CHANGES) {
                apply();
            }
            store.setFaultInjector((kind, key) -> StoreFault.NONE);
            store.applyDelayed();
        }

        /** Lets another operator make a whole change between two calls of this one. */
        private void maybeInterleave() {
            if (nestedApplies < 2 && started < CHANGES && random.nextInt(40) == 0) {
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
            nestedApplies++;
            double weight = 100 + started++;
            long against = repository
                    .readHead()
                    .map(head -> head.map(ConfigHead::version).orElse(0L))
                    .getOrElse(0L);
            answers.put(
                    weight,
                    repository
                            .apply()
                            .setConfig(SiteConfigs.withWeight(example, "auditors", weight))
                            .setBaseVersion(against)
                            .call());
            nestedApplies--;
        }

        void reportUnknownEffectAsNoEffect() {
            answers.replaceAll((weight, answer) ->
                    answer.mapLeft(failure -> Failure.noEffect(failure.step(), failure.peer(), failure.message())));
        }

        List<String> contradictions() {
            Map<Double, Long> versionByWeight = new HashMap<>();
            List<String> found = new ArrayList<>();
            long newest = repository.readHead().get().map(ConfigHead::version).orElse(0L);
            for (long version = 1; version <= newest; version++) {
                Long twice = versionByWeight.put(
                        weightOf(repository.readVersion(version).get()), version);
                if (twice != null) {
                    found.add("a change is accepted as " + twice + " and " + version);
                }
            }
            answers.forEach((weight, answer) -> check(weight, answer, versionByWeight.get(weight), found));
            return found;
        }

        private static void check(
                double weight, Either<Failure, ApplyResult> answer, Long version, List<String> found) {
            if (answer.isLeft()) {
                if (answer.getLeft().kind() != Failure.Kind.UNKNOWN_EFFECT && version != null) {
                    found.add(weight + " is version " + version + " but was answered " + answer);
                }
                return;
            }
            ApplyResult result = answer.get();
            boolean applied = result.outcome() == ApplyResult.Outcome.APPLIED;
            if (applied != (version != null) || (applied && result.version() != version)) {
                found.add(weight + " is version " + version + " but was answered " + answer);
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
