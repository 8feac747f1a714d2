package org.cactusshift.pgm;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.cactusshift.config.ConfigFile;
import org.cactusshift.config.ConfigLoader;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.InvalidConfigException;
import org.cactusshift.id.SiteId;

/** Options that several commands share. */
final class CommonOptions {
    private static final String HOME_VARIABLE = "CACTUSSHIFT_HOME";

    private CommonOptions() {}

    static Option site() {
        return Option.builder()
                .longOpt("site")
                .hasArg()
                .argName("SITE")
                .desc("the site; its overlay file is overlays/SITE.json by default")
                .get();
    }

    static Option base() {
        return Option.builder()
                .longOpt("base")
                .hasArg()
                .argName("FILE")
                .desc("the base configuration file; examples/base.json by default")
                .get();
    }

    static Option overlay() {
        return Option.builder()
                .longOpt("overlay")
                .hasArg()
                .argName("FILE")
                .desc("the file with the site's own values, merged over the base file; "
                        + "overlays/SITE.json beside the base file by default")
                .get();
    }

    static Option store() {
        return Option.builder()
                .longOpt("store")
                .hasArg()
                .argName("ADDRESS,...")
                .desc("addresses of the key-value store, as IP:PORT")
                .get();
    }

    static Option json() {
        return Option.builder()
                .longOpt("json")
                .desc("prints the result as JSON")
                .get();
    }

    static SiteId parseSite(CommandLine line) throws UsageException {
        try {
            return SiteId.fromString(requiredValue(line, "site"));
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }

    /**
     * Loads the configuration from the files that {@code --base}, {@code --overlay} and {@code --site} name.
     *
     * <p>The base file is {@code base.json} of the examples by default. The overlay is {@code overlays/SITE.json}
     * beside the base file by default, or none without {@code --site}.
     *
     * @throws UsageException if none of the three options is given or the files are for another site
     */
    static SiteConfig loadFiles(CommandLine line) throws UsageException, InvalidConfigException {
        Path base = line.hasOption("base")
                ? Path.of(line.getOptionValue("base"))
                : examplesDirectory().resolve("base.json");
        Optional<ConfigFile> overlay = Optional.empty();
        if (line.hasOption("overlay")) {
            overlay = Optional.of(ConfigFile.read(Path.of(line.getOptionValue("overlay"))));
        } else if (line.hasOption("site")) {
            Path directory = base.toAbsolutePath().resolveSibling("overlays");
            overlay = Optional.of(ConfigFile.read(directory.resolve(parseSite(line) + ".json")));
        } else if (!line.hasOption("base")) {
            throw new UsageException("--site or --base is missing");
        }
        SiteConfig config = ConfigLoader.create().load(ConfigFile.read(base), overlay);
        if (line.hasOption("site") && !config.site().equals(parseSite(line))) {
            throw new UsageException(
                    "--site does not match the configuration files, which are for site " + config.site());
        }
        return config;
    }

    /**
     * Returns the directory with the example files.
     *
     * <p>It is searched upwards from {@code CACTUSSHIFT_HOME}, which the start script sets, or else from the working
     * directory. If no ancestor has {@code examples/base.json}, {@code examples} of the root directory is returned.
     */
    static Path examplesDirectory() {
        String home = System.getenv(HOME_VARIABLE);
        Path directory = Path.of(home == null ? "" : home).toAbsolutePath();
        while (directory.getParent() != null && !Files.exists(directory.resolve("examples/base.json"))) {
            directory = directory.getParent();
        }
        return directory.resolve("examples");
    }

    static String requiredValue(CommandLine line, String option) throws UsageException {
        if (!line.hasOption(option)) {
            throw new UsageException("--" + option + " is missing");
        }
        return line.getOptionValue(option);
    }

    static List<String> parseStoreAddresses(CommandLine line) throws UsageException {
        List<String> addresses = Arrays.stream(requiredValue(line, "store").split(","))
                .map(String::strip)
                .toList();
        for (String address : addresses) {
            if (!address.matches("[0-9a-fA-F.:\\[\\]]+:\\d{1,5}")) {
                throw new UsageException("--store: not an IP address and port: " + address);
            }
        }
        return addresses;
    }

    static long parseNonNegativeLong(CommandLine line, String option) throws UsageException {
        String text = requiredValue(line, option);
        try {
            long number = Long.parseLong(text);
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, as negative numbers are.
        }
        throw new UsageException("--" + option + ": expected a non-negative integer, got: " + text);
    }
}
