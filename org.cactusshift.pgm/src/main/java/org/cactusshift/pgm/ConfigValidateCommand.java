package org.cactusshift.pgm;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.ConfigProblem;
import org.cactusshift.errors.InvalidConfigException;

/** Validates configuration files. */
public final class ConfigValidateCommand implements Command {
    @Override
    public String name() {
        return "config validate";
    }

    @Override
    public String summary() {
        return "checks a base file and its overlay and reports all problems";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommonOptions.site())
                .addOption(CommonOptions.base())
                .addOption(CommonOptions.overlay())
                .addOption(CommonOptions.json());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException {
        try {
            SiteConfig config = CommonOptions.loadFiles(line);
            if (line.hasOption("json")) {
                console.printJson(List.of());
            } else {
                console.out()
                        .printf(
                                "%s is valid: %d accounts, %d services, %d upstreams%n",
                                config.site(),
                                config.accounts().size(),
                                config.services().size(),
                                config.upstreams().size());
            }
            return ExitStatus.SUCCESS;
        } catch (InvalidConfigException e) {
            if (line.hasOption("json")) {
                console.printJson(e.problems());
            } else {
                e.problems().stream().map(ConfigProblem::toString).forEach(console.err()::println);
            }
            return ExitStatus.FAILED;
        }
    }
}
