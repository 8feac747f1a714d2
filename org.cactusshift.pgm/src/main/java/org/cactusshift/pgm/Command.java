package org.cactusshift.pgm;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cactusshift.errors.CactusshiftException;

/** One command of the command line. */
public interface Command {
    /**
     * Returns the words that select the command.
     *
     * @return the name, such as {@code "config apply"}
     */
    String name();

    /**
     * Returns what the command does, in one line.
     *
     * @return the summary
     */
    String summary();

    /**
     * Returns the options besides {@code --help}.
     *
     * @return new options
     */
    Options options();

    /**
     * Returns how positional arguments are shown in the usage.
     *
     * @return the arguments, such as {@code "TRACE"}; empty when there are none
     */
    default String arguments() {
        return "";
    }

    /**
     * Runs the command. Results go to the console's output, messages to its error stream.
     *
     * @param line the parsed options and arguments
     * @param console where to write
     * @return {@link ExitStatus#DONE} or {@link ExitStatus#FAILED}
     * @throws UsageException if an option or argument is wrong
     * @throws CactusshiftException if the command failed
     */
    int run(CommandLine line, Console console) throws UsageException, CactusshiftException;
}
