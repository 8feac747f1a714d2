package org.cactusshift.pgm;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cactusshift.config.SiteConfigCodec;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;

/** Prints a configuration: an accepted version with {@code --store}, otherwise the merged files. */
public final class ConfigShowCommand implements Command {
    @Override
    public String name() {
        return "config show";
    }

    @Override
    public String summary() {
        return "prints the current configuration or, without --store, files";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommonOptions.site())
                .addOption(CommonOptions.store())
                .addOption(Option.builder()
                        .longOpt("version")
                        .hasArg()
                        .argName("N")
                        .desc("the accepted version to print, with --store; the current one by default")
                        .get())
                .addOption(CommonOptions.base())
                .addOption(CommonOptions.overlay());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        if (!line.hasOption("store")) {
            console.printJson(SiteConfigCodec.toTree(CommonOptions.loadFiles(line)));
            return ExitStatus.SUCCESS;
        }
        try (StoreSession session = StoreSession.open(line)) {
            VersionedConfig shown = line.hasOption("version")
                    ? StoreSession.getOrThrow(
                            session.repository().readVersion(CommonOptions.parseNonNegativeLong(line, "version")))
                    : session.readCurrent();
            console.err().println("version " + shown.version());
            console.printJson(SiteConfigCodec.toTree(shown.config()));
            return ExitStatus.SUCCESS;
        }
    }
}
