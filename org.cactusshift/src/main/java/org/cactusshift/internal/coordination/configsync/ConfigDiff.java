package org.cactusshift.internal.coordination.configsync;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.config.SiteConfigCodec;

/** Compares two configurations field by field. */
public final class ConfigDiff {
    private ConfigDiff() {}

    /**
     * Returns the differences between two configurations.
     *
     * @param accepted the accepted configuration
     * @param proposed the proposed configuration
     * @return the differences, sorted by field name at each level; arrays are compared as a whole
     */
    public static List<ConfigDifference> between(SiteConfig accepted, SiteConfig proposed) {
        List<ConfigDifference> found = new ArrayList<>();
        compare(JsonPointer.empty(), SiteConfigCodec.toTree(accepted), SiteConfigCodec.toTree(proposed), found);
        return found;
    }

    private static void compare(
            JsonPointer pointer, JsonNode accepted, JsonNode proposed, List<ConfigDifference> found) {
        if (accepted.isObject() && proposed.isObject()) {
            for (String name : namesOf(accepted, proposed)) {
                compare(pointer.appendProperty(name), accepted.path(name), proposed.path(name), found);
            }
        } else if (!accepted.equals(proposed)) {
            found.add(new ConfigDifference(pointer.toString(), textOf(accepted), textOf(proposed)));
        }
    }

    private static Iterable<String> namesOf(JsonNode accepted, JsonNode proposed) {
        TreeSet<String> names = new TreeSet<>();
        accepted.properties().stream().map(Map.Entry::getKey).forEach(names::add);
        proposed.properties().stream().map(Map.Entry::getKey).forEach(names::add);
        return names;
    }

    private static String textOf(JsonNode node) {
        return node instanceof MissingNode ? "" : node.toString();
    }
}
