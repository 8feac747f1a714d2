package org.cactusshift.pgm;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Finds commands by their names. */
public final class CommandRegistry {
    private final List<Command> commands;

    private CommandRegistry(List<Command> commands) {
        this.commands = List.copyOf(commands);
    }

    /**
     * Returns a registry.
     *
     * @param commands the commands, in the order of the help text
     * @return the registry
     */
    public static CommandRegistry of(List<Command> commands) {
        return new CommandRegistry(commands);
    }

    /**
     * Returns a registry of all commands of the program.
     *
     * @return the registry
     */
    public static CommandRegistry standard() {
        return of(List.of(
                new DemoCommand(),
                new NodeCommand(),
                new StatusCommand(),
                new ExplainCommand(),
                new ReplayCommand(),
                new BenchCapacityCommand(),
                new ConfigValidateCommand(),
                new ConfigShowCommand(),
                new ConfigApplyCommand(),
                new ConfigDiffCommand(),
                new ConfigHistoryCommand(),
                new KeyCreateCommand(),
                new KeyWithdrawCommand(),
                new AccountListCommand(),
                new VersionCommand()));
    }

    /**
     * Finds the command whose name the arguments start with.
     *
     * @param args the arguments of the process
     * @return the command, empty if there is none
     */
    public Optional<Command> find(String[] args) {
        return commands.stream().filter(command -> isNamed(command, args)).findFirst();
    }

    private static boolean isNamed(Command command, String[] args) {
        String[] words = wordsOf(command);
        return args.length >= words.length && Arrays.equals(words, Arrays.copyOf(args, words.length));
    }

    static String[] wordsOf(Command command) {
        return command.name().split(" ");
    }

    /**
     * Returns all commands.
     *
     * @return the commands, in the order of the help text
     */
    public List<Command> commands() {
        return commands;
    }
}
