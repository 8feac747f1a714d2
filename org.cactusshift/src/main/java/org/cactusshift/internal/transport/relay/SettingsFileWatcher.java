package org.cactusshift.internal.transport.relay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.function.Consumer;

/** Reads a settings file again when it has changed; settings that cannot be read leave the former ones in force. */
public final class SettingsFileWatcher {
    private final Path file;
    private final Consumer<NodeSettings> receiver;
    private final EventLog log;
    private FileTime read;

    private SettingsFileWatcher(Path file, Consumer<NodeSettings> receiver, EventLog log) {
        this.file = file;
        this.receiver = receiver;
        this.log = log;
        this.read = modified();
    }

    /**
     * Returns a watch of a file that was read just now.
     *
     * @param file the settings file
     * @param receiver takes changed settings
     * @param log takes each reload
     * @return the watch
     */
    public static SettingsFileWatcher create(Path file, Consumer<NodeSettings> receiver, EventLog log) {
        return new SettingsFileWatcher(file, receiver, log);
    }

    /** Reads the file if its time stamp has changed. */
    public void look() {
        FileTime now = modified();
        if (now != null && !now.equals(read)) {
            read = now;
            reload();
        }
    }

    /** Reads the file at once, whatever its time stamp says. */
    public void reload() {
        try {
            receiver.accept(NodeSettingsReader.read(file));
            log.event("node.reloaded").with("file", file).write();
        } catch (IOException | IllegalArgumentException e) {
            log.event("node.reloadFailed")
                    .with("file", file)
                    .with("reason", String.valueOf(e.getMessage()))
                    .write();
        }
    }

    private FileTime modified() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException e) {
            // The file is being replaced; the next look finds the new one.
            return null;
        }
    }
}
