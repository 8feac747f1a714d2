package org.cactusshift.replay;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.cactusshift.errors.Failure;

/** Replays a trace under one or more policies. */
public final class TraceReplayCommand {
    private static final String STEP = "replay trace";

    private Optional<Path> traceFile = Optional.empty();
    private Optional<Trace> trace = Optional.empty();
    private List<String> policies = List.of(ReplayPolicy.STANDARD);
    private long seed = 1;

    private TraceReplayCommand() {}

    /**
     * Returns a command that replays under the standard policy with seed 1.
     *
     * @return the command
     */
    public static TraceReplayCommand create() {
        return new TraceReplayCommand();
    }

    /**
     * Sets the file from which the trace is read.
     *
     * @param file the trace file
     * @return this
     */
    public TraceReplayCommand setTrace(Path file) {
        traceFile = Optional.of(file);
        trace = Optional.empty();
        return this;
    }

    /**
     * Sets the trace.
     *
     * @param newTrace the trace
     * @return this
     */
    public TraceReplayCommand setTrace(Trace newTrace) {
        trace = Optional.of(newTrace);
        traceFile = Optional.empty();
        return this;
    }

    /**
     * Sets the policies.
     *
     * @param names the names of the policies, from {@link #policyNames}
     * @return this
     */
    public TraceReplayCommand setPolicies(List<String> names) {
        policies = List.copyOf(Objects.requireNonNull(names, "names"));
        return this;
    }

    /**
     * Sets the seed of the random numbers of the replay; the same seed gives the same results.
     *
     * @param newSeed the seed
     * @return this
     */
    public TraceReplayCommand setSeed(long newSeed) {
        seed = newSeed;
        return this;
    }

    /**
     * Returns the names of the policies that can be replayed.
     *
     * @return the names, the standard policy first
     */
    public static List<String> policyNames() {
        return ReplayPolicy.all().stream().map(ReplayPolicy::name).toList();
    }

    /**
     * Replays the trace.
     *
     * @return the report, or a failure if the trace or a policy is not usable
     */
    public Either<Failure, ReplayReport> call() {
        Either<Failure, Trace> read = trace.<Either<Failure, Trace>>map(Either::right)
                .or(() -> traceFile.map(TraceReader::read))
                .orElse(Either.left(Failure.rejected(STEP, "local", "no trace or trace file was set")));
        return read.flatMap(this::replay);
    }

    private Either<Failure, ReplayReport> replay(Trace loadedTrace) {
        List<PolicyResult> results = new ArrayList<>();
        for (String name : policies) {
            Optional<ReplayPolicy> policy = ReplayPolicy.find(name);
            if (policy.isEmpty()) {
                String known = String.join(", ", policyNames());
                return Either.left(Failure.rejected(STEP, "local", "no policy is named " + name + "; known: " + known));
            }
            results.add(ReplayRun.run(loadedTrace, policy.get(), seed));
        }
        return Either.right(ReplayReport.create(loadedTrace, seed, results));
    }
}
