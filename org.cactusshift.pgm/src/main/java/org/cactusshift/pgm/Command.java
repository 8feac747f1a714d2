package org.cactusshift.pgm;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cactusshift.errors.CactusshiftException;

/** A command of the command-line interface. */
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
     * Returns the options of the command, without {@code --help}.
     *
     * @return a new object on each call, to which the caller may add options
     */
    Options options();

    /**
     * Returns the positional arguments as the usage shows them.
     *
     * @return the arguments, such as {@code "TRACE"}; empty if there are none
     */
    default String arguments() {
        return "";
    }

    /**
     * Runs the command. Results go to the console's output, messages to its error stream.
     *
     * @param line the parsed options and arguments
     * @param console the streams to write to
     * @return {@link ExitStatus#SUCCESS} or {@link ExitStatus#FAILED}
     * @throws UsageException if an option or argument is invalid
     * @throws CactusshiftException if the command failed
     */
    int run(CommandLine line, Console console) throws UsageException, CactusshiftException;
}
