package org.cactusshift.config;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;

/** Tells from which of two merged files a value came. */
final class Provenance {
    private final String baseName;
    private final String overlayName;
    private final JsonNode base;
    private final JsonNode overlay;

    private Provenance(String baseName, JsonNode base, String overlayName, JsonNode overlay) {
        this.baseName = baseName;
        this.base = base;
        this.overlayName = overlayName;
        this.overlay = overlay;
    }

    static Provenance of(String baseName, JsonNode base, String overlayName, JsonNode overlay) {
        return new Provenance(baseName, base, overlayName, overlay);
    }

    static Provenance ofSingleFile(String name, JsonNode document) {
        return new Provenance(name, document, name, document);
    }

    /**
     * Returns the file that decided about a value.
     *
     * <p>That is the overlay when it sets or removes the value or replaces one of its parents; else the base, unless
     * the value is missing from an object that only the overlay has.
     */
    String fileOf(JsonPointer pointer) {
        if (isSetBy(overlay, pointer)) {
            return overlayName;
        }
        JsonPointer parent = pointer.head();
        boolean parentOnlyInOverlay = parent != null
                && !overlay.at(parent).isMissingNode()
                && base.at(parent).isMissingNode();
        return parentOnlyInOverlay ? overlayName : baseName;
    }

    private static boolean isSetBy(JsonNode patch, JsonPointer pointer) {
        JsonNode node = patch;
        JsonPointer rest = pointer;
        while (!rest.matches()) {
            if (!node.isObject()) {
                return true;
            }
            node = node.path(rest.getMatchingProperty());
            if (node.isMissingNode()) {
                return false;
            }
            rest = rest.tail();
        }
        return !node.isObject();
    }
}
