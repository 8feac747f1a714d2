package org.cactusshift.internal.coordination.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StoreEraTest {
    private final StoreEra era = StoreEra.create();
    private final List<Long> risesFrom = new ArrayList<>();

    private boolean isUsed(String stated, long sentEra, StoreEra.Use use) {
        return era.onAnswer(Optional.ofNullable(stated), sentEra, use).isRight();
    }

    /** The rows: what an answer states in era 3, the era of its call, how it is used, and the era afterwards. */
    @ParameterizedTest
    @CsvSource({
        "3, 3, SAME_ERA, true, 3",
        ", 3, SAME_ERA, true, 3",
        "4, 3, SAME_ERA, false, 4",
        "4, 3, ANY_NEWER_ERA, true, 4",
        "3, 2, SAME_ERA, false, 3",
        "3, 2, ANY_NEWER_ERA, true, 3",
        "2, 3, ANY_NEWER_ERA, false, 3",
        "2, 2, SAME_ERA, false, 3",
        "-1, 3, SAME_ERA, false, 3",
        "x, 3, ANY_NEWER_ERA, false, 3"
    })
    void answerIsUsedIfItsEraFitsTheCall(String stated, long sentEra, StoreEra.Use use, boolean used, long eraAfter) {
        isUsed("3", 0, StoreEra.Use.SAME_ERA);
        era.setRiseListener(risesFrom::add);
        assertEquals(used, isUsed(stated, sentEra, use));
        assertEquals(eraAfter, era.current());
        assertEquals(eraAfter > 3 ? List.of(3L) : List.of(), risesFrom);
    }

    @Test
    void firstEraIsNoRise() {
        era.setRiseListener(risesFrom::add);
        assertEquals(true, isUsed("7", 0, StoreEra.Use.SAME_ERA));
        assertEquals(List.of(), risesFrom);
    }

    /** Guards against a store that begins to state its era with the restore, so that the restore is not seen. */
    @Test
    void eraAfterAnswersWithoutOneIsARise() {
        era.setRiseListener(risesFrom::add);
        assertEquals(true, isUsed(null, 0, StoreEra.Use.SAME_ERA));
        assertEquals(false, isUsed("1", 0, StoreEra.Use.SAME_ERA));
        assertEquals(List.of(0L), risesFrom);
    }
}
