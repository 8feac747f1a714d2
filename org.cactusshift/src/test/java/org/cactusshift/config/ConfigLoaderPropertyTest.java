package org.cactusshift.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cactusshift.errors.ConfigProblem;
import org.cactusshift.errors.InvalidConfigException;

class ConfigLoaderPropertyTest {
    private static final ConfigLoader LOADER = ConfigLoader.create();
    private static final NodeSettingsLoader SETTINGS_LOADER = NodeSettingsLoader.create();

    @Property(tries = 3000, seed = "20261203", shrinking = ShrinkingMode.OFF)
    void mutatedTreesAreLoadedOrRejected(@ForAll long seed) throws Exception {
        JsonMutator mutator = new JsonMutator(seed);
        String site = seed % 2 == 0 ? "be-coast" : "gh-south";
        loadOrReject(
                new ConfigFile("base", mutator.mutateTree(tree(ExampleConfigs.base()))),
                new ConfigFile("overlay", mutator.mutateTree(tree(ExampleConfigs.overlay(site)))));
    }

    @Property(tries = 3000, seed = "20261203", shrinking = ShrinkingMode.OFF)
    void mutatedBytesAreLoadedOrRejected(@ForAll long seed) throws Exception {
        JsonMutator mutator = new JsonMutator(seed);
        byte[] overlay = mutator.mutateBytes(ExampleConfigs.overlay("be-coast").content());
        loadOrReject(ExampleConfigs.base(), new ConfigFile("overlay", overlay));
    }

    @Property(tries = 2000, seed = "20261203", shrinking = ShrinkingMode.OFF)
    void mutatedSettingsAreLoadedOrRejected(@ForAll long seed) throws Exception {
        byte[] mutated =
                new JsonMutator(seed).mutateTree(tree(ConfigFile.of("settings", NodeSettingsLoaderTest.SETTINGS)));
        try {
            SETTINGS_LOADER.load(new ConfigFile("settings", mutated));
        } catch (InvalidConfigException e) {
            assertFalse(e.problems().isEmpty());
        }
    }

    private static void loadOrReject(ConfigFile base, ConfigFile overlay) throws Exception {
        try {
            SiteConfig config = LOADER.load(base, Optional.of(overlay));
            assertEquals(config, LOADER.validate("again", config));
        } catch (InvalidConfigException e) {
            for (ConfigProblem problem : e.problems()) {
                assertFalse(problem.reason().isBlank(), problem::toString);
            }
        }
    }

    private static JsonNode tree(ConfigFile file) throws Exception {
        return Json.mapper().readTree(file.content());
    }
}
