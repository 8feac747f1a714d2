package org.cactusshift.errors;

import java.util.List;

/** A configuration is invalid; carries every fault that was found. */
public class InvalidConfigException extends CactusshiftException {
    private static final long serialVersionUID = 1L;

    private final transient List<ConfigProblem> problems;

    /**
     * Creates the exception.
     *
     * @param step the step that found the faults, such as {@code "load configuration"}
     * @param problems the faults, at least one
     * @throws IllegalArgumentException if there is no fault
     */
    public InvalidConfigException(String step, List<ConfigProblem> problems) {
        super(describe(step, problems));
        this.problems = List.copyOf(problems);
    }

    private static Failure describe(String step, List<ConfigProblem> problems) {
        if (problems.isEmpty()) {
            throw new IllegalArgumentException("an invalid configuration has at least one problem");
        }
        ConfigProblem first = problems.get(0);
        String rest = problems.size() == 1 ? "" : " and " + (problems.size() - 1) + " more";
        return Failure.rejected(step, first.file(), first.pointer() + ": " + first.reason() + rest);
    }

    /**
     * Returns all faults.
     *
     * @return the faults in the order of their files and pointers
     */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
