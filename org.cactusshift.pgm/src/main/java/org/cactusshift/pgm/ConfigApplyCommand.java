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

/** Replaces the accepted configuration with the configuration of files. */
public final class ConfigApplyCommand implements Command {
    @Override
    public String name() {
        return "config apply";
    }

    @Override
    public String summary() {
        return "replaces the accepted configuration unless it has changed";
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
                        .desc("the version that the change is based on; 0 for the first")
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
                        .desc("replaces the keys of existing accounts with those of the files")
                        .get())
                .addOption(ConfigVersionWaiter.option())
                .addOption(CommonOptions.json());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        long baseVersion = CommonOptions.version(line, "against");
        SiteConfig proposed = CommonOptions.loadFiles(line);
        try (StoreSession session = StoreSession.open(line)) {
            SiteConfig config = line.hasOption("replace-keys") ? proposed : withAcceptedKeys(proposed, session);
            ApplyResult result = StoreSession.getOrThrow(session.apply(line, line.getOptionValue("comment", ""))
                    .setConfig(config)
                    .setBaseVersion(baseVersion)
                    .call());
            ApplyResultPrinter.print(result, baseVersion, line.hasOption("json"), console);
            boolean done = result.outcome() != ApplyResult.Outcome.CONFLICT
                    && ConfigVersionWaiter.await(line, result.version(), console);
            return done ? ExitStatus.DONE : ExitStatus.FAILED;
        }
    }

    private static SiteConfig withAcceptedKeys(SiteConfig proposed, StoreSession session) throws CactusshiftException {
        Optional<VersionedConfig> accepted =
                StoreSession.getOrThrow(session.repository().readCurrent());
        if (accepted.isEmpty()) {
            return proposed;
        }
        SiteConfig merged = AccountKeyEditor.carryOver(proposed, accepted.get().config());
        return ConfigLoader.create().validate("files with accepted keys", merged);
    }
}
