package org.cactusshift.pgm.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LinearFitTest {
    private static final double TOLERANCE = 1e-9;

    @ParameterizedTest
    @CsvSource({
        // values at sizes 1, 2 and 4, slope, intercept, residual
        "5, 8, 14, 3, 2, 0",
        "7, 7, 7, 0, 7, 0",
        "0, 3, 3, 0.857142857142857, 0, 0.925820099772551",
    })
    void computesLeastSquaresLineAndResidual(
            double first, double second, double third, double slope, double intercept, double residual) {
        LinearFit fit = LinearFit.of(List.of(new Sample(1, first), new Sample(2, second), new Sample(4, third)));

        assertEquals(slope, fit.slope(), TOLERANCE);
        assertEquals(intercept, fit.intercept(), TOLERANCE);
        assertEquals(residual, fit.residual(), TOLERANCE);
        assertEquals(Math.max(0, slope * 10 + intercept), fit.at(10), TOLERANCE);
    }

    @Test
    void rejectsFewerThanThreeSizes() {
        List<Sample> samples = List.of(new Sample(1, 1), new Sample(2, 2), new Sample(2, 3));

        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(samples));
    }
}
