package org.cactusshift.internal.coordination.retry;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RetryBudgetTest {
    @Property(seed = "20261203")
    void retriesNeverExceedTheRatioOfRequestsPlusTheReserve(
            @ForAll @DoubleRange(min = 0, max = 1) double ratio,
            @ForAll @IntRange(min = 0, max = 20) int reserve,
            @ForAll @Size(max = 500) List<Boolean> steps) {
        RetryBudget budget = RetryBudget.create(ratio, reserve);
        int requests = 0;
        int retries = 0;
        for (boolean isRequest : steps) {
            if (isRequest) {
                budget.onRequest();
                requests++;
            } else if (budget.tryRetry()) {
                retries++;
            }
            assertTrue(retries <= ratio * requests + reserve + 1e-9, retries + " retries");
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {-0.1, 1.1, Double.NaN})
    void rejectsARatioOutsideZeroToOne(double ratio) {
        assertThrows(IllegalArgumentException.class, () -> RetryBudget.create(ratio, 1));
    }
}
