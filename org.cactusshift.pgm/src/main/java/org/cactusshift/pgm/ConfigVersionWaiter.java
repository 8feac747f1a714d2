package org.cactusshift.pgm;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.cactusshift.errors.CactusshiftException;

/** Waits until nodes have installed a version of the configuration. */
final class ConfigVersionWaiter {
    private static final String OPTION = "wait";
    private static final long TIMEOUT_MILLIS = 30_000;
    private static final long POLL_MILLIS = 100;

    private ConfigVersionWaiter() {}

    static Option option() {
        return Option.builder()
                .longOpt(OPTION)
                .hasArg()
                .argName("ADDRESS,...")
                .desc("waits up to " + TIMEOUT_MILLIS / 1_000
                        + " s until the nodes with these operator addresses have installed the version")
                .get();
    }

    /**
     * Waits if the option is present, and prints on how many nodes the version is installed.
     *
     * @return whether the version is installed on all listed nodes; true without the option
     */
    static boolean awaitInstalled(CommandLine line, long version, Console console) throws CactusshiftException {
        if (!line.hasOption(OPTION)) {
            return true;
        }
        List<String> addresses = List.of(line.getOptionValue(OPTION).split(","));
        Set<String> pendingAddresses = new LinkedHashSet<>(addresses);
        long startMillis = System.currentTimeMillis();
        try (OperatorClient client = OperatorClient.create()) {
            while (!pendingAddresses.isEmpty() && System.currentTimeMillis() - startMillis < TIMEOUT_MILLIS) {
                pendingAddresses.removeIf(address -> isInstalled(client, address, version));
                if (!pendingAddresses.isEmpty()) {
                    Thread.sleep(POLL_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        long tookMillis = System.currentTimeMillis() - startMillis;
        console.err()
                .println("version " + version + " is installed on " + (addresses.size() - pendingAddresses.size())
                        + " of " + addresses.size() + " nodes after " + tookMillis + " ms");
        pendingAddresses.forEach(address ->
                console.err().println("not confirmed by " + address + " (no valid response, or an older version)"));
        return pendingAddresses.isEmpty();
    }

    private static boolean isInstalled(OperatorClient client, String address, long version) {
        try {
            return client.read(address, "/status").path("configVersion").asLong() >= version;
        } catch (IOException | CactusshiftException e) {
            // An unreachable node counts as one without the version.
            return false;
        }
    }
}
