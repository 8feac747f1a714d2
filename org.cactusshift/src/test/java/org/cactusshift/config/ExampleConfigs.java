package org.cactusshift.config;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.cactusshift.errors.InvalidConfigException;

/** The example files at the root of the repository. */
public final class ExampleConfigs {
    private ExampleConfigs() {}

    /** Returns the directory of the examples. */
    public static Path directory() {
        Path directory = Path.of("").toAbsolutePath();
        while (!Files.exists(directory.resolve("examples/base.json"))) {
            directory = directory.getParent();
        }
        return directory.resolve("examples");
    }

    /** Returns the content of the base file. */
    public static ConfigFile base() throws InvalidConfigException {
        return ConfigFile.read(directory().resolve("base.json"));
    }

    /** Returns the content of an overlay. */
    public static ConfigFile overlay(String site) throws InvalidConfigException {
        return ConfigFile.read(directory().resolve("overlays/" + site + ".json"));
    }

    /** Returns a loaded site. */
    public static SiteConfig site(String site) throws InvalidConfigException {
        return ConfigLoader.create().load(base(), Optional.of(overlay(site)));
    }
}
