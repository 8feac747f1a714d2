package org.cactusshift.pgm;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.errors.Failure;
import org.cactusshift.replay.ReplayPlot;
import org.cactusshift.replay.ReplayReport;
import org.cactusshift.replay.TraceReplayCommand;

/** Replays a recorded trace and checks the resulting metrics against the expected outcomes in the trace. */
public final class ReplayCommand implements Command {
    @Override
    public String name() {
        return "replay";
    }

    @Override
    public String summary() {
        return "replays a trace in virtual time and checks the results";
    }

    @Override
    public String arguments() {
        return "TRACE";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("policy")
                        .hasArg()
                        .argName("NAME")
                        .desc("the policy, cactusshift by default; one of "
                                + String.join(", ", TraceReplayCommand.policyNames()))
                        .get())
                .addOption(Option.builder()
                        .longOpt("compare")
                        .hasArg()
                        .argName("NAME,...")
                        .desc("compares several policies side by side")
                        .get())
                .addOption(Option.builder()
                        .longOpt("plots")
                        .hasArg()
                        .argName("DIRECTORY")
                        .desc("plots goodput, the worst-served client account and engine roles over time, as PNG files")
                        .get())
                .addOption(Option.builder()
                        .longOpt("seed")
                        .hasArg()
                        .argName("N")
                        .desc("the random seed; 1 by default")
                        .get())
                .addOption(CommonOptions.json());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("exactly one trace is required");
        }
        TraceReplayCommand replay =
                TraceReplayCommand.create().setTrace(Path.of(line.getArgList().get(0)));
        if (line.hasOption("policy") && line.hasOption("compare")) {
            throw new UsageException("--policy and --compare are mutually exclusive");
        }
        if (line.hasOption("policy")) {
            replay.setPolicies(List.of(line.getOptionValue("policy")));
        }
        if (line.hasOption("compare")) {
            replay.setPolicies(List.of(line.getOptionValue("compare").split(",")));
        }
        if (line.hasOption("seed")) {
            replay.setSeed(CommonOptions.parseNonNegativeLong(line, "seed"));
        }
        Either<Failure, ReplayReport> result = replay.call();
        ReplayReport report = StoreSession.getOrThrow(result);
        console.out().println(line.hasOption("json") ? report.toJson() : report.toText());
        if (line.hasOption("plots")) {
            Path directory = Path.of(line.getOptionValue("plots"));
            StoreSession.getOrThrow(ReplayPlot.create(report).write(directory))
                    .forEach(file -> console.err().println("wrote " + file));
        }
        return report.isMet() ? ExitStatus.SUCCESS : ExitStatus.FAILED;
    }
}
