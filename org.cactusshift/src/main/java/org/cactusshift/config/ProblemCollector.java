package org.cactusshift.config;

import com.fasterxml.jackson.core.JsonPointer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cactusshift.errors.ConfigProblem;
import org.cactusshift.errors.InvalidConfigException;

/** Collects the problems of a document. */
final class ProblemCollector {
    private static final Comparator<ConfigProblem> COMPARATOR = Comparator.comparing(ConfigProblem::file)
            .thenComparing(ConfigProblem::pointer)
            .thenComparing(ConfigProblem::reason);

    private final Provenance provenance;
    private final List<ConfigProblem> problems = new ArrayList<>();

    ProblemCollector(Provenance provenance) {
        this.provenance = provenance;
    }

    /** Adds a problem; {@code path} holds the field names from the root to the value. */
    void add(String reason, String... path) {
        JsonPointer pointer = JsonPointer.empty();
        for (String name : path) {
            pointer = pointer.appendProperty(name);
        }
        add(pointer, reason);
    }

    void add(JsonPointer pointer, String reason) {
        problems.add(new ConfigProblem(provenance.fileOf(pointer), pointer.toString(), reason));
    }

    void throwIfAny(String step) throws InvalidConfigException {
        if (!problems.isEmpty()) {
            throw new InvalidConfigException(
                    step, problems.stream().distinct().sorted(COMPARATOR).toList());
        }
    }
}
