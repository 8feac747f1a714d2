package org.cactusshift.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;

/** Reads the operator pages of a node. */
final class OperatorPageReader {
    private OperatorPageReader() {}

    /** Returns the value of a time series, given by metric name and labels, or 0 if the node does not export it yet. */
    static long metric(Node node, String name) {
        return text(node.operatorAddress(), "/metrics")
                .lines()
                .filter(line -> line.startsWith(name + " "))
                .map(line -> line.substring(name.length() + 1))
                .mapToLong(value -> (long) Double.parseDouble(value))
                .sum();
    }

    /** Returns the body of a page. */
    static String text(String address, String path) {
        try (InputStream page = URI.create("http://" + address + path).toURL().openStream()) {
            return new String(page.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
