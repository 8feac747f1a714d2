package org.cactusshift.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;

/** Reads what a node shows to operators. */
final class OperatorPageReader {
    private OperatorPageReader() {}

    /** Returns the value of a metric, 0 when it is not shown yet. */
    static long metric(Node node, String name) {
        return text(node.operatorAddress(), "/metrics")
                .lines()
                .filter(line -> line.startsWith(name + " "))
                .map(line -> line.substring(name.length() + 1))
                .mapToLong(value -> (long) Double.parseDouble(value))
                .sum();
    }

    /** Returns the text of a page. */
    static String text(String address, String path) {
        try (InputStream page = URI.create("http://" + address + path).toURL().openStream()) {
            return new String(page.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
