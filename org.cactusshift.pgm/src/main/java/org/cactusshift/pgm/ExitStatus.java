package org.cactusshift.pgm;

/** Exit statuses of the command line. */
public final class ExitStatus {
    /** The command did what it was asked. */
    public static final int DONE = 0;

    /** The command failed; a message on the error stream says why. */
    public static final int FAILED = 1;

    /** The command line was wrong. */
    public static final int USAGE = 2;

    private ExitStatus() {}
}
