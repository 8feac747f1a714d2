package org.cactusshift.pgm.demo;

import java.io.PrintStream;

/** A progress bar, drawn only if the process has a terminal. */
final class DemoProgress {
    private static final int WIDTH_CHARS = 40;

    private final PrintStream out;
    private final int total;
    private final boolean terminal;
    private int drawnChars = -1;

    DemoProgress(PrintStream out, int total) {
        this.out = out;
        this.total = total;
        this.terminal = System.console() != null;
    }

    void show(int finished) {
        int filled = total == 0 ? WIDTH_CHARS : finished * WIDTH_CHARS / total;
        if (terminal && filled != drawnChars) {
            drawnChars = filled;
            out.print("\r[" + "#".repeat(filled) + " ".repeat(WIDTH_CHARS - filled) + "] " + finished + "/" + total);
        }
    }

    void end() {
        if (terminal) {
            out.println();
        }
    }
}
