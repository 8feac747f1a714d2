package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsFileWatcherTest {
    private final List<NodeSettings> received = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    private Path file;
    private SettingsFileWatcher watcher;

    @BeforeEach
    void writeFile(@TempDir Path directory) throws IOException {
        file = directory.resolve("node.json");
        write(NodeSettingsReaderTest.SETTINGS, 1_000);
        watcher = SettingsFileWatcher.create(file, received::add, (event, fields) -> log.add(event));
    }

    private void write(String text, long modifiedMillis) throws IOException {
        Files.writeString(file, text);
        Files.setLastModifiedTime(file, FileTime.fromMillis(modifiedMillis));
    }

    @Test
    void changedFileIsReloadedOnce() throws IOException {
        watcher.reloadIfChanged();
        assertEquals(0, received.size());
        write(NodeSettingsReaderTest.SETTINGS.replace("\"ratio\":0.2", "\"ratio\":0.5"), 2_000);
        watcher.reloadIfChanged();
        watcher.reloadIfChanged();
        assertEquals(1, received.size());
        assertEquals(0.5, received.get(0).retries().ratio());
    }

    @Test
    void malformedFileIsLoggedAndLeavesTheSettingsUnchanged() throws IOException {
        write("{", 2_000);
        watcher.reloadIfChanged();
        assertEquals(0, received.size());
        assertEquals(List.of("node.reloadFailed"), log);
    }
}
