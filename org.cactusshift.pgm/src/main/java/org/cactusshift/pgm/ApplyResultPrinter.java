package org.cactusshift.pgm;

import java.util.ArrayList;
import java.util.List;
import org.cactusshift.internal.coordination.configsync.ApplyResult;
import org.cactusshift.internal.coordination.configsync.ConfigDifference;

/** Prints the result of applying a configuration. */
final class ApplyResultPrinter {
    private ApplyResultPrinter() {}

    static void print(ApplyResult result, long baseVersion, boolean json, Console console) {
        if (json) {
            console.json(result);
            return;
        }
        switch (result.outcome()) {
            case APPLIED -> console.err().println("accepted as version " + result.version());
            case UNCHANGED ->
                console.err().println("version " + result.version() + " already holds the same configuration");
            case CONFLICT -> {
                console.err()
                        .println("not applied: the change is based on version " + baseVersion + ", but version "
                                + result.version() + " is accepted; differences:");
                printDifferences(
                        result.differences(), "accepted", "proposed", new Console(console.err(), console.err()));
            }
            default -> throw new IllegalStateException("unknown outcome " + result.outcome());
        }
    }

    static void printDifferences(List<ConfigDifference> differences, String first, String second, Console console) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("pointer", first, second));
        differences.forEach(difference ->
                rows.add(List.of(difference.pointer(), orNone(difference.accepted()), orNone(difference.proposed()))));
        console.table(rows);
    }

    private static String orNone(String value) {
        return value.isEmpty() ? "(none)" : value;
    }
}
