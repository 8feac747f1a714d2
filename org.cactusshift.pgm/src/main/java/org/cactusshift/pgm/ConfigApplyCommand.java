package org.cactusshift.pgm;

import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cactusshift.config.ConfigLoader;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.internal.coordination.configsync.AccountKeyEditor;
import org.cactusshift.internal.coordination.configsync.ApplyResult;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;

/** Replaces the current configuration with the configuration of files. */
public final class ConfigApplyCommand implements Command {
    @Override
    public String name() {
        return "config apply";
    }

    @Override
    public String summary() {
        return "replaces the configuration if its version is --against";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommonOptions.site())
                .addOption(CommonOptions.store())
                .addOption(Option.builder()
                        .longOpt("against")
                        .hasArg()
                        .argName("N")
                        .desc("the version that the change is based on; 0 if the site has no configuration yet")
                        .get())
                .addOption(CommonOptions.base())
                .addOption(CommonOptions.overlay())
                .addOption(Option.builder()
                        .longOpt("author")
                        .hasArg()
                        .argName("NAME")
                        .desc("the author of the change; the system user by default")
                        .get())
                .addOption(Option.builder()
                        .longOpt("comment")
                        .hasArg()
                        .argName("TEXT")
                        .desc("the reason for the change")
                        .get())
                .addOption(Option.builder()
                        .longOpt("replace-keys")
                        .desc("replaces the keys of existing client accounts with those of the files; "
                                + "without it they keep their current keys")
                        .get())
                .addOption(ConfigVersionWaiter.option())
                .addOption(CommonOptions.json());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        long baseVersion = CommonOptions.parseNonNegativeLong(line, "against");
        SiteConfig proposed = CommonOptions.loadFiles(line);
        try (StoreSession session = StoreSession.open(line)) {
            SiteConfig config = line.hasOption("replace-keys") ? proposed : withCurrentKeys(proposed, session);
            ApplyResult result =
                    StoreSession.getOrThrow(session.newApplyCommand(line, line.getOptionValue("comment", ""))
                            .setConfig(config)
                            .setBaseVersion(baseVersion)
                            .call());
            ConfigResultPrinter.print(result, baseVersion, line.hasOption("json"), console);
            boolean succeeded = result.outcome() != ApplyResult.Outcome.CONFLICT
                    && ConfigVersionWaiter.awaitInstalled(line, result.version(), console);
            return succeeded ? ExitStatus.SUCCESS : ExitStatus.FAILED;
        }
    }

    private static SiteConfig withCurrentKeys(SiteConfig proposed, StoreSession session) throws CactusshiftException {
        Optional<VersionedConfig> current =
                StoreSession.getOrThrow(session.repository().readCurrent());
        if (current.isEmpty()) {
            return proposed;
        }
        SiteConfig merged =
                AccountKeyEditor.withAcceptedKeys(proposed, current.get().config());
        return ConfigLoader.create().validate("files with current keys", merged);
    }
}
