package org.cactusshift.systemtest;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.cactusshift.config.Json;
import org.cactusshift.config.NodeSettings;
import org.cactusshift.standin.StandInClient;

/** A Java process started by a test: a node or another main class. The test can send signals to it. */
final class NodeProcess implements AutoCloseable {
    private static final String NODE_MAIN = "org.cactusshift.node.NodeMain";

    private static final List<String> JVM_OPTIONS = List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    /** Time-out for the {@code kill} command and for the exit after {@link #close}. */
    private static final long PROCESS_TIMEOUT_MILLIS = 10_000;

    private static final long POLL_MILLIS = 20;

    private static final int HTTP_OK = 200;

    private final Process process;

    private final Path output;

    private NodeProcess(Process process, Path output) {
        this.process = process;
        this.output = output;
    }

    /**
     * Starts a node process, {@code org.cactusshift.node.NodeMain}.
     *
     * @param settings the settings of the node, written to a file in the directory
     * @param directory the directory for the settings file and the output file
     * @return the process
     * @throws IOException if the process can't be started
     */
    static NodeProcess startNode(NodeSettings settings, Path directory) throws IOException {
        String name = settings.instanceId().value();
        Path file = directory.resolve(name + ".json");
        Files.write(file, Json.mapper().writeValueAsBytes(settings));
        return start(NODE_MAIN, directory.resolve(name + ".log"), "--settings", file.toString());
    }

    /**
     * Starts the main method of a class on the class path of the tests in a process of its own.
     *
     * @param mainClass the name of the class
     * @param output the file to which standard output and standard error are appended
     * @param arguments the command-line arguments
     * @return the process
     * @throws IOException if the process can't be started
     */
    static NodeProcess start(String mainClass, Path output, String... arguments) throws IOException {
        return start(mainClass, output, Map.of(), arguments);
    }

    /**
     * Starts the main method of a class on the class path of the tests in a process of its own, with additional
     * environment variables.
     *
     * @param mainClass the name of the class
     * @param output the file to which standard output and standard error are appended
     * @param environment the additional variables
     * @param arguments the command-line arguments
     * @return the process
     * @throws IOException if the process can't be started
     */
    static NodeProcess start(String mainClass, Path output, Map<String, String> environment, String... arguments)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        Process process = builder.redirectErrorStream(true)
                .redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")))
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                .start();
        return new NodeProcess(process, output);
    }

    /**
     * Returns the process id.
     *
     * @return the id
     */
    long pid() {
        return process.pid();
    }

    /**
     * Returns whether the process is running.
     *
     * @return true also while it is paused
     */
    boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Pauses the process (SIGSTOP).
     *
     * @throws IOException if the signal can't be sent
     */
    void pause() throws IOException {
        signal("STOP");
    }

    /**
     * Resumes a paused process (SIGCONT).
     *
     * @throws IOException if the signal can't be sent
     */
    void resume() throws IOException {
        signal("CONT");
    }

    /**
     * Makes the process reload its settings (SIGHUP).
     *
     * @throws IOException if the signal can't be sent
     */
    void reloadSettings() throws IOException {
        signal("HUP");
    }

    /**
     * Kills the process (SIGKILL).
     *
     * @throws IOException if the signal can't be sent
     */
    void kill() throws IOException {
        signal("KILL");
    }

    /**
     * Asks the process to shut down (SIGTERM).
     *
     * @throws IOException if the signal can't be sent
     */
    void terminate() throws IOException {
        signal("TERM");
    }

    /**
     * Waits until the process has exited.
     *
     * @param timeoutMillis the longest wait, in milliseconds
     * @return the exit status; empty when the process is still running after the wait
     * @throws InterruptedException if the wait was interrupted
     */
    OptionalInt awaitExit(long timeoutMillis) throws InterruptedException {
        return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)
                ? OptionalInt.of(process.exitValue())
                : OptionalInt.empty();
    }

    /**
     * Polls an HTTP endpoint of the process until it returns status 200.
     *
     * @param client the HTTP client
     * @param address the address as {@code ADDRESS:PORT}
     * @param path the path, such as {@code /readyz}
     * @param timeoutMillis the longest wait, in milliseconds
     * @return true when the endpoint returned 200; false when the process exited or the time-out passed first
     * @throws InterruptedException if the wait was interrupted
     */
    boolean awaitOk(StandInClient client, String address, String path, long timeoutMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (isAlive() && System.nanoTime() < endNanos) {
            if (statusOf(client, address, path)
                    .filter(status -> status == HTTP_OK)
                    .isPresent()) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        return false;
    }

    /**
     * Reads the output of the process so far.
     *
     * @return standard output and standard error, interleaved
     * @throws IOException if the file can't be read
     */
    String output() throws IOException {
        return Files.readString(output, StandardCharsets.UTF_8);
    }

    /** Kills the process if it is running and waits up to 10 s for its exit. */
    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(PROCESS_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Optional<Integer> statusOf(StandInClient client, String address, String path) {
        try {
            return Optional.of(client.get(address, path).status());
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private void signal(String name) throws IOException {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        try {
            if (!kill.waitFor(PROCESS_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) || kill.exitValue() != 0) {
                throw new IOException("could not send SIG" + name + " to process " + process.pid());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for the kill command", e);
        }
    }
}
