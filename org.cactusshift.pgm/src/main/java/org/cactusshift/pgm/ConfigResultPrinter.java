package org.cactusshift.pgm;

import java.util.ArrayList;
import java.util.List;
import org.cactusshift.internal.coordination.configsync.ApplyResult;
import org.cactusshift.internal.coordination.configsync.ConfigDifference;

/** Prints the results of {@code config apply} and {@code config diff}. */
final class ConfigResultPrinter {
    private ConfigResultPrinter() {}

    static void print(ApplyResult result, long baseVersion, boolean json, Console console) {
        if (json) {
            console.printJson(result);
            return;
        }
        switch (result.outcome()) {
            case APPLIED -> console.err().println("accepted as version " + result.version());
            case UNCHANGED ->
                console.err().println("version " + result.version() + " already holds the same configuration");
            case CONFLICT -> {
                console.err()
                        .println("not applied: the change is based on version " + baseVersion + ", but the current "
                                + "version is " + result.version()
                                + "; merge these differences and retry against the current version:");
                printDifferences(
                        result.differences(), "accepted", "proposed", new Console(console.err(), console.err()));
            }
            default -> throw new IllegalStateException("unknown outcome " + result.outcome());
        }
    }

    /**
     * Prints a table of differences; a value that is absent in one configuration is printed as {@code (none)}.
     *
     * @param leftTitle the column title of the {@code accepted} values
     * @param rightTitle the column title of the {@code proposed} values
     */
    static void printDifferences(
            List<ConfigDifference> differences, String leftTitle, String rightTitle, Console console) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("pointer", leftTitle, rightTitle));
        differences.forEach(difference ->
                rows.add(List.of(difference.pointer(), orNone(difference.accepted()), orNone(difference.proposed()))));
        console.printTable(rows);
    }

    private static String orNone(String value) {
        return value.isEmpty() ? "(none)" : value;
    }
}
