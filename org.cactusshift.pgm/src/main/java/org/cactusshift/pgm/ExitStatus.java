package org.cactusshift.pgm;

/** Exit statuses of the command line. */
public final class ExitStatus {
    /** The command succeeded. */
    public static final int SUCCESS = 0;

    /** The command failed; a message on the error stream gives the reason. */
    public static final int FAILED = 1;

    /** The command line was invalid. */
    public static final int USAGE = 2;

    private ExitStatus() {}
}
