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
 * <p>The overlay is a JSON merge patch (RFC 7396) on the base. The merged document is checked against the JSON Schema
 * and then by meaning; all faults are reported at once, each with the file that the value came from.
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
     * Returns a loader with the schema and the checks of this version.
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
     * @throws InvalidConfigException if a file can't be read or the configuration is invalid
     */
    public SiteConfig load(Path base, Path overlay) throws InvalidConfigException {
        return load(ConfigFile.read(base), Optional.of(ConfigFile.read(overlay)));
    }

    /**
     * Loads a configuration.
     *
     * @param base the base file
     * @param overlay the overlay; empty when the base is complete
     * @return the configuration
     * @throws InvalidConfigException if the configuration is invalid; carries every fault
     */
    public SiteConfig load(ConfigFile base, Optional<ConfigFile> overlay) throws InvalidConfigException {
        List<ConfigProblem> unreadable = new ArrayList<>();
        JsonNode baseTree = parse(base, unreadable);
        JsonNode overlayTree = overlay.isPresent() ? parse(overlay.get(), unreadable) : emptyObject();
        if (!unreadable.isEmpty()) {
            throw new InvalidConfigException(STEP, unreadable);
        }
        String overlayName = overlay.map(ConfigFile::name).orElse(base.name());
        Provenance provenance = Provenance.of(base.name(), baseTree, overlayName, overlayTree);
        return validate(MergePatch.apply(baseTree, overlayTree), provenance);
    }

    /**
     * Checks a configuration that was built or changed in memory.
     *
     * @param name the name under which faults are reported
     * @param config the configuration
     * @return the same configuration
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
            throw new IllegalStateException("a problem was added", e);
        }
    }

    static JsonNode parse(ConfigFile file, List<ConfigProblem> unreadable) {
        try {
            JsonNode tree = Json.mapper().readTree(file.content());
            if (tree.isObject()) {
                findOutOfRangeNumbers(file.name(), JsonPointer.empty(), tree, unreadable);
                return tree;
            }
            unreadable.add(new ConfigProblem(file.name(), "", "is not a JSON object"));
        } catch (JsonProcessingException e) {
            String at = e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
            unreadable.add(new ConfigProblem(file.name(), "", at + e.getOriginalMessage()));
        } catch (IOException e) {
            unreadable.add(new ConfigProblem(file.name(), "", e.toString()));
        }
        return emptyObject();
    }

    /** Reports numbers beyond the range of a double, which the schema check can't compare. */
    private static void findOutOfRangeNumbers(
            String file, JsonPointer pointer, JsonNode node, List<ConfigProblem> found) {
        if (node.isDouble() && !Double.isFinite(node.doubleValue())) {
            found.add(new ConfigProblem(file, pointer.toString(), "is out of the range of numbers"));
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
