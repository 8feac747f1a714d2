package org.cactusshift.config;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import com.networknt.schema.path.NodePath;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

/** Validates a document against a JSON Schema from the resources of this package. */
final class SchemaValidator {
    private final Schema schema;

    private SchemaValidator(Schema schema) {
        this.schema = schema;
    }

    /**
     * Reads a schema from the resources of this package.
     *
     * @throws UncheckedIOException if the resource is missing, which is an error of the build
     */
    static SchemaValidator fromResource(String name) {
        try (InputStream in = SchemaValidator.class.getResourceAsStream(name)) {
            if (in == null) {
                throw new IOException("resource " + name + " is missing from the build");
            }
            JsonNode tree = Json.mapper().readTree(in);
            SchemaRegistry registry = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);
            return new SchemaValidator(registry.getSchema(tree));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void check(JsonNode document, ProblemCollector problems) {
        for (Error error : schema.validate(document)) {
            JsonPointer pointer = pointerTo(error.getInstanceLocation());
            if (error.getProperty() != null) {
                pointer = pointer.appendProperty(error.getProperty());
            }
            problems.add(pointer, error.getMessage());
        }
    }

    private static JsonPointer pointerTo(NodePath path) {
        JsonPointer pointer = JsonPointer.empty();
        for (int i = 0; i < path.getNameCount(); i++) {
            pointer = pointer.appendProperty(path.getName(i));
        }
        return pointer;
    }
}
