package org.cactusshift.errors;

import java.util.List;

/** Thrown when a configuration is invalid; lists all problems that were found. */
public class InvalidConfigException extends CactusshiftException {
    private static final long serialVersionUID = 1L;

    private final transient List<ConfigProblem> problems;

    /**
     * Creates the exception.
     *
     * @param step the step that found the problems, such as {@code "load configuration"}
     * @param problems the problems, at least one
     * @throws IllegalArgumentException if the list of problems is empty
     */
    public InvalidConfigException(String step, List<ConfigProblem> problems) {
        super(describe(step, problems));
        this.problems = List.copyOf(problems);
    }

    private static Failure describe(String step, List<ConfigProblem> problems) {
        if (problems.isEmpty()) {
            throw new IllegalArgumentException("the list of configuration problems is empty");
        }
        ConfigProblem first = problems.get(0);
        String rest = problems.size() == 1 ? "" : " and " + (problems.size() - 1) + " more";
        return Failure.rejected(step, first.file(), first.pointer() + ": " + first.reason() + rest);
    }

    /**
     * Returns all problems.
     *
     * @return the problems, in the order given to the constructor; null after deserialization
     */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
