package org.cactusshift.internal.transport.relay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.function.Consumer;

/**
 * Reloads a settings file when it is called and the file has changed; if the file cannot be read or is invalid, the
 * previous settings stay active.
 */
public final class SettingsFileWatcher {
    private final Path file;
    private final Consumer<NodeSettings> receiver;
    private final EventLog log;

    /** The modification time at the last read; null when it could not be read then. */
    private FileTime modifiedAtLastRead;

    private SettingsFileWatcher(Path file, Consumer<NodeSettings> receiver, EventLog log) {
        this.file = file;
        this.receiver = receiver;
        this.log = log;
        this.modifiedAtLastRead = lastModified();
    }

    /**
     * Returns a watcher of a file that has just been read.
     *
     * @param file the settings file
     * @param receiver receives changed settings
     * @param log records each reload and each failed one
     * @return the watcher
     */
    public static SettingsFileWatcher create(Path file, Consumer<NodeSettings> receiver, EventLog log) {
        return new SettingsFileWatcher(file, receiver, log);
    }

    /** Reloads the file if its modification time has changed. */
    public void reloadIfChanged() {
        FileTime modified = lastModified();
        if (modified != null && !modified.equals(modifiedAtLastRead)) {
            modifiedAtLastRead = modified;
            reload();
        }
    }

    /** Reloads the file regardless of its modification time. */
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

    /** Returns the modification time; null when it cannot be read, for example while the file is being replaced. */
    private FileTime lastModified() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException e) {
            // The next check tries again.
            return null;
        }
    }
}
