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

/** Replaces the accepted configuration by files. */
public final class ConfigApplyCommand implements Command {
    @Override
    public String name() {
        return "config apply";
    }

    @Override
    public String summary() {
        return "replaces the accepted configuration if still the same";
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
                        .desc("the version that the change was made against; 0 for the first")
                        .get())
                .addOption(CommonOptions.base())
                .addOption(CommonOptions.overlay())
                .addOption(Option.builder()
                        .longOpt("author")
                        .hasArg()
                        .argName("NAME")
                        .desc("who makes the change; the system's user by default")
                        .get())
                .addOption(Option.builder()
                        .longOpt("comment")
                        .hasArg()
                        .argName("TEXT")
                        .desc("why the change is made")
                        .get())
                .addOption(Option.builder()
                        .longOpt("replace-keys")
                        .desc("takes the keys of existing accounts from the files too")
                        .get())
                .addOption(ConfigVersionWaiter.option())
                .addOption(CommonOptions.json());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        long against = CommonOptions.version(line, "against");
        SiteConfig proposed = CommonOptions.loadFiles(line);
        try (StoreSession session = StoreSession.open(line)) {
            SiteConfig config = line.hasOption("replace-keys") ? proposed : withAcceptedKeys(proposed, session);
            ApplyResult result = StoreSession.getOrThrow(session.apply(line, line.getOptionValue("comment", ""))
                    .setConfig(config)
                    .setBaseVersion(against)
                    .call());
            ApplyResultPrinter.print(result, against, line.hasOption("json"), console);
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
