package org.cactusshift.pgm;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.internal.coordination.configsync.AccountKeyEditor;
import org.cactusshift.internal.coordination.configsync.ConfigDiff;
import org.cactusshift.internal.coordination.configsync.ConfigDifference;
import org.cactusshift.internal.coordination.configsync.VersionedConfig;

/**
 * Prints the differences between an accepted version and files or another version.
 *
 * <p>In the files, existing client accounts first get their keys from the compared version, as {@code config apply}
 * does by default with the keys of the current version.
 */
public final class ConfigDiffCommand implements Command {
    @Override
    public String name() {
        return "config diff";
    }

    @Override
    public String summary() {
        return "compares an accepted version with files or another version";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommonOptions.site())
                .addOption(CommonOptions.store())
                .addOption(version("from", "the version to compare; the current one by default"))
                .addOption(version("to", "the version to compare with instead of the files"))
                .addOption(CommonOptions.base())
                .addOption(CommonOptions.overlay())
                .addOption(CommonOptions.json());
    }

    private static Option version(String name, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName("N")
                .desc(description)
                .get();
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        try (StoreSession session = StoreSession.open(line)) {
            VersionedConfig from = line.hasOption("from")
                    ? StoreSession.getOrThrow(
                            session.repository().readVersion(CommonOptions.parseNonNegativeLong(line, "from")))
                    : session.readCurrent();
            SiteConfig to = line.hasOption("to")
                    ? StoreSession.getOrThrow(
                                    session.repository().readVersion(CommonOptions.parseNonNegativeLong(line, "to")))
                            .config()
                    : AccountKeyEditor.withAcceptedKeys(CommonOptions.loadFiles(line), from.config());
            List<ConfigDifference> differences = ConfigDiff.between(from.config(), to);
            if (line.hasOption("json")) {
                console.printJson(differences);
            } else {
                String rightTitle = line.hasOption("to") ? "version " + line.getOptionValue("to") : "files";
                ConfigResultPrinter.printDifferences(differences, "version " + from.version(), rightTitle, console);
            }
            return ExitStatus.SUCCESS;
        }
    }
}
