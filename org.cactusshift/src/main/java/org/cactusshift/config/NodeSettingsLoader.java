package org.cactusshift.config;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cactusshift.errors.ConfigProblem;
import org.cactusshift.errors.InvalidConfigException;

/** Loads the settings of a node from a JSON file; reports all problems together. */
public final class NodeSettingsLoader {
    private static final String STEP = "load settings";
    private static final String SCHEMA = "node-settings.schema.json";
    private static final String PEERS = "peerAddresses";

    private final SchemaValidator schema;

    private NodeSettingsLoader(SchemaValidator schema) {
        this.schema = schema;
    }

    /**
     * Returns a loader with the schema that is built into the program.
     *
     * @return the loader, thread-safe
     */
    public static NodeSettingsLoader create() {
        return new NodeSettingsLoader(SchemaValidator.fromResource(SCHEMA));
    }

    /**
     * Reads and loads a file.
     *
     * @param path the file
     * @return the settings
     * @throws InvalidConfigException if the file cannot be read or the settings are invalid
     */
    public NodeSettings load(Path path) throws InvalidConfigException {
        return load(ConfigFile.read(path));
    }

    /**
     * Loads settings from a file in memory.
     *
     * @param file the file
     * @return the settings
     * @throws InvalidConfigException if the settings are invalid; lists all problems
     */
    public NodeSettings load(ConfigFile file) throws InvalidConfigException {
        List<ConfigProblem> parseProblems = new ArrayList<>();
        JsonNode tree = ConfigLoader.parse(file, parseProblems);
        if (!parseProblems.isEmpty()) {
            throw new InvalidConfigException(STEP, parseProblems);
        }
        ProblemCollector problems = new ProblemCollector(Provenance.ofSingleFile(file.name(), tree));
        schema.check(tree, problems);
        new AddressRule().check(tree, problems);
        problems.throwIfAny(STEP);
        return toSettings(tree, problems);
    }

    private static NodeSettings toSettings(JsonNode tree, ProblemCollector problems) throws InvalidConfigException {
        ObjectNode copy = tree.deepCopy();
        // A missing list would be decoded as null, which NodeSettings rejects.
        if (!copy.has(PEERS)) {
            copy.putArray(PEERS);
        }
        try {
            return Json.mapper().treeToValue(copy, NodeSettings.class);
        } catch (JsonProcessingException e) {
            problems.add(JsonPointer.empty(), e.getOriginalMessage());
            problems.throwIfAny(STEP);
            throw new IllegalStateException("throwIfAny returned although a problem was added", e);
        }
    }
}
