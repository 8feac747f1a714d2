package org.cactusshift.node;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cactusshift.config.NodeSettings;
import org.cactusshift.config.NodeSettingsLoader;
import org.cactusshift.errors.CactusshiftException;

/** Starts a node from a settings file and stops it gracefully on SIGTERM or SIGINT. */
public final class NodeMain {
    private static final System.Logger LOG = System.getLogger(NodeMain.class.getName());
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final Option SETTINGS = Option.builder("s")
            .longOpt("settings")
            .hasArg()
            .argName("FILE")
            .required()
            .desc("settings of this process, JSON")
            .get();

    private NodeMain() {}

    /**
     * Runs a node until the process is signalled. The process exits with 2 on a usage error, with 1 if the node can't
     * start or stops with open requests, otherwise with 0.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        Path file;
        try {
            CommandLine line = new DefaultParser().parse(new Options().addOption(SETTINGS), args);
            file = Path.of(line.getOptionValue(SETTINGS));
        } catch (ParseException | InvalidPathException e) {
            System.err.println("node: " + e.getMessage() + "; usage: node --settings FILE");
            System.exit(EXIT_USAGE);
            return;
        }
        int exitCode = run(file);
        if (exitCode != 0) {
            System.exit(exitCode);
        }
    }

    /**
     * Runs a node until the process is signalled.
     *
     * @param settingsFile the settings file
     * @return 1 if the node can't start, after a message to standard error, or if the waiting thread is interrupted;
     *     otherwise the method does not return
     */
    public static int run(Path settingsFile) {
        try {
            NodeSettings settings = NodeSettingsLoader.create().load(settingsFile);
            Node node = Node.start(settings);
            // A signalled JVM exits with a status for the signal; halting in the hook reports a graceful stop as
            // success.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "shutdown"));
            // All threads of a node are daemon threads, so the process runs only as long as this thread waits.
            Thread.currentThread().join();
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_FAILED;
        } catch (CactusshiftException e) {
            System.err.println("node: " + e.getMessage());
            return EXIT_FAILED;
        }
    }

    private static void stop(Node node) {
        boolean allRequestsCompleted = node.stop();
        LOG.log(
                System.Logger.Level.INFO,
                allRequestsCompleted
                        ? "node stopped; all requests were completed"
                        : "node stopped with open requests, as the shutdown timeout expired; exiting with status 1");
        Runtime.getRuntime().halt(allRequestsCompleted ? 0 : EXIT_FAILED);
    }
}
