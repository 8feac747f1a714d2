package org.cactusshift.pgm;

import java.io.IOException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.errors.Failure;
import org.cactusshift.pgm.demo.Demo;

/** Runs nodes, simulators of the platform services and the upstreams, and recorded traffic on loopback. */
public final class DemoCommand implements Command {
    private static final String DEFAULT_SITE = "be-coast";
    private static final String LOG_LEVEL_PROPERTY = "cactusshift.logLevel";

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "runs a site with simulated upstreams and recorded traffic";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommonOptions.site())
                .addOption(Option.builder()
                        .longOpt("hold")
                        .desc("starts the site and serves until SIGINT or SIGTERM, without traffic")
                        .get())
                .addOption(Option.builder()
                        .longOpt("verbose")
                        .desc("writes the logs of the nodes to standard error")
                        .get());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        String site = line.hasOption("site") ? CommonOptions.parseSite(line).value() : DEFAULT_SITE;
        System.setProperty(LOG_LEVEL_PROPERTY, line.hasOption("verbose") ? "info" : "error");
        Demo demo = Demo.create()
                .setExamples(CommonOptions.examplesDirectory())
                .setSite(site)
                .setStreams(console.out(), console.err());
        try {
            if (line.hasOption("hold")) {
                demo.serveUntilSignal();
                return ExitStatus.SUCCESS;
            }
            return demo.run() ? ExitStatus.SUCCESS : ExitStatus.FAILED;
        } catch (IOException e) {
            throw new CactusshiftException(Failure.noEffect("run demo", "local", e.toString()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitStatus.FAILED;
        }
    }
}
