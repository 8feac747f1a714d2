package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the judge catches planted faults of streams, and nothing else. */
class SoakStreamJudgeTest {
    private static List<String> kinds(List<String> violations) {
        return violations.stream()
                .map(violation -> violation.substring(0, violation.indexOf(':')))
                .distinct()
                .toList();
    }

    private static String event(int number, String id, String version) {
        return "id: " + number + "\ndata: " + id + "-" + number + "-" + version + "\n\n";
    }

    @ParameterizedTest
    @CsvSource({
        // The versions of the three events, the numbers of the last two, and the request that they name.
        "v1, v1, v1, 2, 3, r1, 0",
        "v2, v2, v2, 2, 3, r1, 0",
        "v1, v2, v2, 2, 3, r1, 1",
        "v1, v1, v2, 2, 3, r1, 1",
        "v1, v1, v1, 3, 4, r1, 1",
        "v1, v1, v1, 1, 2, r1, 1",
        "v1, v1, v1, 2, 3, r9, 1"
    })
    void eventsThatDoNotFitTogetherAreCaught(
            String first,
            String second,
            String third,
            int secondNumber,
            int thirdNumber,
            String id,
            int violatedRules) {
        SoakStreamJudge judge = new SoakStreamJudge();
        // The caller takes the stream up after the second event, at a request of its own.
        SoakStreamJudge.Position position = judge.onEvents(
                "r1",
                event(1, "r1", first) + event(secondNumber, id, second) + "id: 9",
                SoakStreamJudge.Position.START);
        position = judge.onEvents("t1", event(thirdNumber, "t1", third), position);
        assertEquals(
                violatedRules,
                kinds(judge.violations()).size(),
                judge.violations().toString());
        assertEquals(thirdNumber, position.lastEvent());
    }

    @ParameterizedTest
    @CsvSource({"20, 20, 12, 6, 0", "20, 20, 12, 5, 1", "20, 10, 12, 3, 0", "20, 20, 11, 0, 0", "20, 0, 12, 0, 0"})
    void streamsThatDoNotGoOnAreCaught(int sent, int begun, int takenUp, int wentOn, int violatedRules) {
        SoakStreamJudge judge = new SoakStreamJudge();
        for (int i = 0; i < sent; i++) {
            judge.onNew(i < begun);
        }
        for (int i = 0; i < takenUp; i++) {
            judge.onTakenUp(i < wentOn);
        }
        assertEquals(
                violatedRules,
                kinds(judge.violations()).size(),
                judge.violations().toString());
    }
}
