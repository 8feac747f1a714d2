package org.cactusshift.pgm;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.errors.ConfigProblem;
import org.cactusshift.errors.InvalidConfigException;

/** Runs the command that the arguments name. */
public final class Main {
    private static final String PROGRAM = "cactusshift";
    private static final String HELP = "help";
    private static final int HELP_WIDTH_CHARS = 80;

    private final CommandRegistry registry;
    private final Console console;

    private Main(CommandRegistry registry, Console console) {
        this.registry = registry;
        this.console = console;
    }

    /**
     * Returns a program that runs the given commands.
     *
     * @param registry the commands
     * @param console the streams that the commands write to
     * @return the program
     */
    public static Main of(CommandRegistry registry, Console console) {
        return new Main(registry, console);
    }

    /**
     * Runs the process. After a successful command it lives on while non-daemon threads run; after any other it exits
     * with the command's status.
     *
     * @param args the name of a command, its options and arguments
     */
    public static void main(String[] args) {
        int status = of(CommandRegistry.standard(), Console.system()).run(args);
        System.out.flush();
        if (status != ExitStatus.SUCCESS) {
            System.exit(status);
        }
    }

    /**
     * Runs a command.
     *
     * @param args the name of the command, its options and arguments
     * @return the exit status
     */
    public int run(String[] args) {
        if (args.length == 0) {
            printCommands(console.err());
            return ExitStatus.USAGE;
        }
        if (isHelp(args[0])) {
            printCommands(console.out());
            return ExitStatus.SUCCESS;
        }
        Optional<Command> command = registry.find(args);
        if (command.isEmpty()) {
            console.err().println(PROGRAM + ": no command name matches the arguments: " + String.join(" ", args));
            printCommands(console.err());
            return ExitStatus.USAGE;
        }
        int nameWordCount = CommandRegistry.wordsOf(command.get()).length;
        return run(command.get(), Arrays.copyOfRange(args, nameWordCount, args.length));
    }

    private int run(Command command, String[] args) {
        if (Arrays.stream(args).anyMatch(Main::isHelp)) {
            printHelp(command);
            return ExitStatus.SUCCESS;
        }
        try {
            CommandLine line = new DefaultParser().parse(command.options(), args);
            if (command.arguments().isEmpty() && !line.getArgList().isEmpty()) {
                throw new UsageException(
                        "unexpected argument " + line.getArgList().get(0));
            }
            return command.run(line, console);
        } catch (ParseException | UsageException e) {
            console.err().println(PROGRAM + " " + command.name() + ": " + e.getMessage() + "; see --help");
            return ExitStatus.USAGE;
        } catch (InvalidConfigException e) {
            e.problems().stream().map(ConfigProblem::toString).forEach(console.err()::println);
            return ExitStatus.FAILED;
        } catch (CactusshiftException e) {
            console.err().println(PROGRAM + " " + command.name() + ": " + e.getMessage());
            return ExitStatus.FAILED;
        }
    }

    private static boolean isHelp(String arg) {
        return arg.equals("--" + HELP) || arg.equals("-h");
    }

    private void printCommands(PrintStream stream) {
        stream.println("usage: " + PROGRAM + " COMMAND [OPTION]...");
        stream.println("       " + PROGRAM + " COMMAND --help");
        for (Command command : registry.commands()) {
            stream.printf("  %-18s %s%n", command.name(), command.summary());
        }
    }

    private void printHelp(Command command) {
        Options options = command.options();
        options.addOption(
                Option.builder("h").longOpt(HELP).desc("prints this text").get());
        PrintWriter writer = new PrintWriter(console.out(), false, StandardCharsets.UTF_8);
        String usage = (PROGRAM + " " + command.name() + " [OPTION]... " + command.arguments()).strip();
        new HelpFormatter().printHelp(writer, HELP_WIDTH_CHARS, usage, command.summary(), options, 1, 2, "");
        writer.flush();
    }
}
