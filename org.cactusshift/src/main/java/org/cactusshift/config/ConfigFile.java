package org.cactusshift.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.cactusshift.errors.ConfigProblem;
import org.cactusshift.errors.InvalidConfigException;

/**
 * The name and content of a configuration file.
 *
 * @param name the name of the file in reported problems
 * @param content the content, in UTF-8
 */
public record ConfigFile(String name, byte[] content) {
    /** Checks that no component is null. */
    public ConfigFile {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(content, "content");
    }

    /**
     * Returns a file with the given text.
     *
     * @param name the name of the file in reported problems
     * @param text the content
     * @return the file
     */
    public static ConfigFile of(String name, String text) {
        return new ConfigFile(name, text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Reads a file.
     *
     * @param path the path
     * @return the file, named by its path
     * @throws InvalidConfigException if the file cannot be read
     */
    public static ConfigFile read(Path path) throws InvalidConfigException {
        try {
            return new ConfigFile(path.toString(), Files.readAllBytes(path));
        } catch (IOException e) {
            ConfigProblem problem = new ConfigProblem(path.toString(), "", "cannot be read: " + e);
            throw new InvalidConfigException("read file", List.of(problem));
        }
    }
}
