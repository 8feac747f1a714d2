package org.cactusshift.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.PrintStream;
import java.util.List;
import org.cactusshift.config.Json;

/**
 * The output streams of a command.
 *
 * @param out receives results only
 * @param err receives messages
 */
public record Console(PrintStream out, PrintStream err) {
    /**
     * Returns the streams of the process.
     *
     * @return the console
     */
    public static Console system() {
        return new Console(System.out, System.err);
    }

    /**
     * Writes a value as indented JSON.
     *
     * @param value the value
     */
    public void printJson(Object value) {
        try {
            out.println(Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not serialize a result as JSON", e);
        }
    }

    /**
     * Writes rows as a table, whose columns are as wide as their longest cells.
     *
     * @param rows at least the row of column titles, which is the first; all rows have the same number of cells
     */
    public void printTable(List<List<String>> rows) {
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        for (List<String> row : rows) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                text.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + 2));
            }
            out.println(text.toString().stripTrailing());
        }
    }
}
