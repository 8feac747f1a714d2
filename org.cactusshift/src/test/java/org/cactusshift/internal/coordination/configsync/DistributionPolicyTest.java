package org.cactusshift.internal.coordination.configsync;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.internal.coordination.configsync.DistributionPolicy.Step;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DistributionPolicyTest {
    private static final long NOW_MILLIS = 100_000;

    private final DistributionPolicy policy = DistributionPolicy.of(new DistributionTiming(50, 1000, 2000, 500));

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // rank | relay | installed and newest peer version | contact age in ms | watching | followed relay |
                // time since the last steps in ms | expected steps
                "0 |    | 5 5 |  500 | true  |    | 1000 | READ_HEAD",
                "0 |    | 5 5 |  500 | true  |    |  999 | ''",
                "1 |    | 5 5 |  500 | false |    |  500 | OPEN_WATCH",
                "1 |    | 5 5 |  500 | true  | r0 |  500 | UNFOLLOW",
                "2 | r0 | 5 5 |  500 | true  | r0 | 1000 | CLOSE_WATCH",
                "2 | r0 | 5 5 |  500 | false |    |  500 | FOLLOW",
                "2 | r1 | 5 5 |  500 | false | r0 |  500 | FOLLOW",
                "2 | r0 | 5 5 |  500 | false | r0 | 9999 | ''",
                "2 | r0 | 5 5 | 2001 | false | r0 | 1000 | READ_HEAD",
                "7 | r0 | 5 5 | 2001 | false | r0 | 1000 | READ_HEAD",
                "8 | r0 | 5 5 | 2001 | false | r0 | 1000 | ''",
                "8 | r0 | 0 0 |   -1 | false | r0 | 1000 | READ_HEAD FETCH",
                "8 | r0 | 0 0 |   -1 | false | r0 |  499 | ''",
                "8 | r0 | 5 6 |  500 | false | r0 |   50 | FETCH",
                "8 | r0 | 5 6 |  500 | false | r0 |   49 | ''",
                "8 | r0 | 6 5 |  500 | false | r0 | 1000 | ''",
            })
    void decidesTheDueStepsForEachState(
            int rank,
            String relay,
            String versions,
            long contactAgeMillis,
            boolean watching,
            String followed,
            long sinceLastMillis,
            String steps) {
        long lastMillis = NOW_MILLIS - sinceLastMillis;
        DistributionState state = new DistributionState(
                rank,
                Optional.ofNullable(relay),
                Long.parseLong(versions.split(" ")[0]),
                Long.parseLong(versions.split(" ")[1]),
                contactAgeMillis,
                watching,
                Optional.ofNullable(followed),
                lastMillis,
                lastMillis,
                lastMillis,
                lastMillis);
        Set<Step> expected = EnumSet.noneOf(Step.class);
        Arrays.stream(steps.split(" "))
                .filter(s -> !s.isEmpty())
                .map(Step::valueOf)
                .forEach(expected::add);

        assertEquals(expected, policy.decide(state, NOW_MILLIS));
    }
}
