package org.cactusshift.pgm;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cactusshift.config.SiteConfigCodec;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;

/** Prints a configuration: the merged files or an accepted version. */
public final class ConfigShowCommand implements Command {
    @Override
    public String name() {
        return "config show";
    }

    @Override
    public String summary() {
        return "prints the accepted configuration or the merged files";
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
                        .desc("an earlier accepted version")
                        .get())
                .addOption(CommonOptions.base())
                .addOption(CommonOptions.overlay());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        if (!line.hasOption("store")) {
            console.json(SiteConfigCodec.toTree(CommonOptions.loadFiles(line)));
            return ExitStatus.DONE;
        }
        try (StoreSession session = StoreSession.open(line)) {
            VersionedConfig shown = line.hasOption("version")
                    ? StoreSession.getOrThrow(session.repository().readVersion(CommonOptions.version(line, "version")))
                    : session.current();
            console.err().println("version " + shown.version());
            console.json(SiteConfigCodec.toTree(shown.config()));
            return ExitStatus.DONE;
        }
    }
}
