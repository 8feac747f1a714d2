package org.cactusshift.config;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.cactusshift.errors.InvalidConfigException;

/** Loads the example configuration files in the root of the repository. */
public final class ExampleConfigs {
    private ExampleConfigs() {}

    /** Returns the directory of the example files. */
    public static Path directory() {
        Path directory = Path.of("").toAbsolutePath();
        while (!Files.exists(directory.resolve("examples/base.json"))) {
            directory = directory.getParent();
        }
        return directory.resolve("examples");
    }

    /** Reads the base file. */
    public static ConfigFile base() throws InvalidConfigException {
        return ConfigFile.read(directory().resolve("base.json"));
    }

    /** Reads the overlay of a site. */
    public static ConfigFile overlay(String site) throws InvalidConfigException {
        return ConfigFile.read(directory().resolve("overlays/" + site + ".json"));
    }

    /** Loads the configuration of a site. */
    public static SiteConfig site(String site) throws InvalidConfigException {
        return ConfigLoader.create().load(base(), Optional.of(overlay(site)));
    }
}
