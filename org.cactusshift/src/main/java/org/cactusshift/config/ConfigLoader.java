package org.cactusshift.config;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusshift.errors.ConfigProblem;
import org.cactusshift.errors.InvalidConfigException;

/**
 * Loads a site configuration from a base file and the overlay of a site.
 *
 * <p>The overlay is a JSON merge patch (RFC 7396) on the base. The merged document is validated against the JSON Schema
 * and then by the semantic rules; all problems are reported together, each with the file that set the value.
 */
public final class ConfigLoader {
    private static final String STEP = "load configuration";
    private static final String SCHEMA = "site-config.schema.json";

    private final SchemaValidator schema;
    private final List<ConfigRule> rules;

    private ConfigLoader(SchemaValidator schema, List<ConfigRule> rules) {
        this.schema = schema;
        this.rules = rules;
    }

    /**
     * Returns a loader with the schema and the rules that are built into the program.
     *
     * @return the loader, thread-safe
     */
    public static ConfigLoader create() {
        return new ConfigLoader(
                SchemaValidator.fromResource(SCHEMA),
                List.of(new ReferenceRule(), new ServiceUpstreamRule(), new TimingRule()));
    }

    /**
     * Reads and loads the files.
     *
     * @param base the base file
     * @param overlay the overlay of the site
     * @return the configuration
     * @throws InvalidConfigException if a file cannot be read or the configuration is invalid
     */
    public SiteConfig load(Path base, Path overlay) throws InvalidConfigException {
        return load(ConfigFile.read(base), Optional.of(ConfigFile.read(overlay)));
    }

    /**
     * Loads a configuration from files in memory.
     *
     * @param base the base file
     * @param overlay the overlay; empty when the base is complete
     * @return the configuration
     * @throws InvalidConfigException if the configuration is invalid; lists all problems
     */
    public SiteConfig load(ConfigFile base, Optional<ConfigFile> overlay) throws InvalidConfigException {
        List<ConfigProblem> parseProblems = new ArrayList<>();
        JsonNode baseTree = parse(base, parseProblems);
        JsonNode overlayTree = overlay.isPresent() ? parse(overlay.get(), parseProblems) : emptyObject();
        if (!parseProblems.isEmpty()) {
            throw new InvalidConfigException(STEP, parseProblems);
        }
        String overlayName = overlay.map(ConfigFile::name).orElse(base.name());
        Provenance provenance = Provenance.of(base.name(), baseTree, overlayName, overlayTree);
        return validate(MergePatch.apply(baseTree, overlayTree), provenance);
    }

    /**
     * Validates a configuration that was built or changed in memory.
     *
     * @param name the name of the file in reported problems
     * @param config the configuration
     * @return the configuration, decoded anew from the validated tree
     * @throws InvalidConfigException if the configuration is invalid
     */
    public SiteConfig validate(String name, SiteConfig config) throws InvalidConfigException {
        JsonNode tree = SiteConfigCodec.toTree(config);
        return validate(tree, Provenance.ofSingleFile(name, tree));
    }

    private SiteConfig validate(JsonNode merged, Provenance provenance) throws InvalidConfigException {
        ProblemCollector problems = new ProblemCollector(provenance);
        schema.check(merged, problems);
        for (ConfigRule rule : rules) {
            rule.check(merged, problems);
        }
        problems.throwIfAny(STEP);
        try {
            return SiteConfigCodec.fromTree(merged);
        } catch (JsonProcessingException e) {
            problems.add(JsonPointer.empty(), e.getOriginalMessage());
            problems.throwIfAny(STEP);
            throw new IllegalStateException("throwIfAny returned although a problem was added", e);
        }
    }

    /**
     * Parses a file; adds what is wrong with it to the problems, and returns an empty object if it is not a JSON
     * object.
     */
    static JsonNode parse(ConfigFile file, List<ConfigProblem> parseProblems) {
        try {
            JsonNode tree = Json.mapper().readTree(file.content());
            if (tree.isObject()) {
                findOutOfRangeNumbers(file.name(), JsonPointer.empty(), tree, parseProblems);
                return tree;
            }
            parseProblems.add(new ConfigProblem(file.name(), "", "is not a JSON object"));
        } catch (JsonProcessingException e) {
            String at = e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
            parseProblems.add(new ConfigProblem(file.name(), "", at + e.getOriginalMessage()));
        } catch (IOException e) {
            parseProblems.add(new ConfigProblem(file.name(), "", e.toString()));
        }
        return emptyObject();
    }

    /** Reports numbers beyond the range of a double, which the schema validator cannot compare. */
    private static void findOutOfRangeNumbers(
            String file, JsonPointer pointer, JsonNode node, List<ConfigProblem> found) {
        if (node.isDouble() && !Double.isFinite(node.doubleValue())) {
            found.add(new ConfigProblem(file, pointer.toString(), "is out of the range of a double"));
        }
        node.properties()
                .forEach(field ->
                        findOutOfRangeNumbers(file, pointer.appendProperty(field.getKey()), field.getValue(), found));
        if (node.isArray()) {
            for (int i = 0; i < node.size(); i++) {
                findOutOfRangeNumbers(file, pointer.appendIndex(i), node.get(i), found);
            }
        }
    }

    private static JsonNode emptyObject() {
        return JsonNodeFactory.instance.objectNode();
    }
}
