package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link Admission} and {@link RetryAfterPolicy}. */
class AdmissionTest {
    private static final ServingRequest REQUEST = ServingFixture.request(
            "q", ServingFixture.route(RequestKind.STREAM, ServingFixture.MODEL, 400, 3_000), List.of());

    @ParameterizedTest
    @CsvSource({"100, 0, false", "1000, 0, false", "2249, 0, false", "2251, 0, true", "1000, 1300, true"})
    void refusesRequestsUnlikelyToBeServedBeforeTheDeadline(long expectedMillis, long nowMillis, boolean refused) {
        assertEquals(refused, Admission.excessMillis(REQUEST, expectedMillis, nowMillis) > 0);
    }

    @ParameterizedTest
    @CsvSource({"0, 3000", "500, 3000", "9000, 3000", "100, 90"})
    void retryDelayIsBetweenTheMinimumAndAThirdOfTheRemainingTime(long excessMillis, long remainingMillis) {
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 50; i++) {
            long retryAfterMillis = RetryAfterPolicy.retryAfterMillis(excessMillis, remainingMillis, random);
            assertTrue(
                    retryAfterMillis >= 80 && retryAfterMillis <= Math.max(80, remainingMillis / 3),
                    "waits " + retryAfterMillis);
        }
    }
}
