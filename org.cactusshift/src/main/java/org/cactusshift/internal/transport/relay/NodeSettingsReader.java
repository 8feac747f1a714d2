package org.cactusshift.internal.transport.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;

/**
 * Reads and validates the JSON settings of a relay node. Unknown fields are ignored; the message of an error names the
 * field that is missing or wrong.
 */
public final class NodeSettingsReader {
    private static final int MAXIMUM_PORT = 65_535;

    private final JsonNode root;

    private NodeSettingsReader(JsonNode root) {
        this.root = root;
    }

    /**
     * Reads settings from a file.
     *
     * @param file the file
     * @return the settings
     * @throws IOException if the file cannot be read or is not JSON
     * @throws IllegalArgumentException if a field is missing or malformed; the message names it
     */
    public static NodeSettings read(Path file) throws IOException {
        return read(Files.readAllBytes(file));
    }

    static NodeSettings read(byte[] json) throws IOException {
        NodeSettingsReader reader = new NodeSettingsReader(new ObjectMapper().readTree(json));
        return new NodeSettings(
                InstanceId.fromString(reader.text("instance")),
                FailureDomainId.fromString(reader.text("failureDomain")),
                reader.address("listen", "callers"),
                reader.address("listen", "readiness"),
                reader.address("listen", "peers"),
                reader.address("listen", "metrics"),
                reader.text("keyValueService"),
                Optional.ofNullable(reader.root.path("platformService").asText(null)),
                new NodeSettings.Retries(
                        reader.nonNegativeNumber("retries", "ratio"),
                        reader.nonNegativeNumber("retries", "extra"),
                        Math.round(reader.nonNegativeNumber("retries", "windowSeconds") * 1_000)),
                new NodeSettings.Timing(
                        Math.round(reader.nonNegativeNumber("timing", "leaseMillis")),
                        Math.round(reader.nonNegativeNumber("timing", "usageWindowSeconds") * 1_000),
                        Math.round(reader.nonNegativeNumber("timing", "configMillis")),
                        Math.round(reader.nonNegativeNumber("timing", "drainMillis")),
                        Math.round(reader.nonNegativeNumber("timing", "graceSeconds") * 1_000)));
    }

    private JsonNode field(String... path) {
        JsonNode node = root;
        for (String name : path) {
            node = node.path(name);
        }
        if (node.isMissingNode() || node.isNull()) {
            throw new IllegalArgumentException("settings: " + String.join(".", path) + " is missing");
        }
        return node;
    }

    private String text(String... path) {
        JsonNode node = field(path);
        if (!node.isTextual() || node.asText().isBlank()) {
            throw new IllegalArgumentException("settings: " + String.join(".", path) + " must be a non-empty string");
        }
        return node.asText();
    }

    private double nonNegativeNumber(String... path) {
        JsonNode node = field(path);
        if (!node.isNumber() || node.asDouble() < 0) {
            throw new IllegalArgumentException("settings: " + String.join(".", path) + " must be a number >= 0");
        }
        return node.asDouble();
    }

    private InetSocketAddress address(String... path) {
        String text = text(path);
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon < 1 || port < 0 || port > MAXIMUM_PORT) {
                throw new IllegalArgumentException("host is missing, or port is not between 0 and 65535");
            }
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
        } catch (IllegalArgumentException | IOException e) {
            throw new IllegalArgumentException(
                    "settings: " + String.join(".", path)
                            + " must be a resolvable ADDRESS:PORT with a port from 0 to 65535, got: " + text,
                    e);
        }
    }
}
