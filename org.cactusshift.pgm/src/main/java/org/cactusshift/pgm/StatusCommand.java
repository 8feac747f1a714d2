package org.cactusshift.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cactusshift.errors.CactusshiftException;

/** Shows the status of nodes. */
public final class StatusCommand implements Command {
    private static final String ROW = "%-14s %-6s %7s %-10s %6s  %s%n";

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "shows the status of nodes";
    }

    @Override
    public String arguments() {
        return "ADDRESS...";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommonOptions.json())
                .addOption(Option.builder()
                        .longOpt("explain")
                        .hasArg()
                        .argName("REQUEST-ID")
                        .desc("shows the routing decisions for a request instead")
                        .get());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        if (line.getArgList().isEmpty()) {
            throw new UsageException("at least one operator address is required, as IP:PORT");
        }
        Optional<String> request = Optional.ofNullable(line.getOptionValue("explain"));
        boolean asJson = line.hasOption("json") || request.isPresent();
        if (!asJson) {
            console.out().printf(ROW, "instance", "ready", "config", "keys", "open", "duties");
        }
        boolean complete = true;
        String path = request.map(id -> "/explain/" + id).orElse("/status");
        try (OperatorClient client = OperatorClient.create()) {
            for (String address : line.getArgList()) {
                try {
                    print(client.read(address, path), asJson, console);
                } catch (IOException e) {
                    console.err().println("cactusshift status: " + address + ": " + e.getMessage());
                    complete = false;
                }
            }
        }
        return complete ? ExitStatus.DONE : ExitStatus.FAILED;
    }

    private static void print(JsonNode page, boolean asJson, Console console) {
        if (asJson) {
            console.out().println(page.toPrettyString());
            return;
        }
        console.out()
                .printf(
                        ROW,
                        page.path("instance").asText(),
                        page.path("ready").asBoolean() ? "yes" : "NO",
                        page.path("configVersion").asText(),
                        page.path("keyView").asText(),
                        page.path("openRequests").asText(),
                        page.path("duties").size());
        page.path("members")
                .forEach(member -> console.out()
                        .printf(
                                "  sees %-14s %-14s %s%n",
                                member.path("instance").asText(),
                                member.path("failureDomain").asText(),
                                member.path("state").asText()));
        if (page.has("notReadyReason")) {
            console.out().println("  not ready: " + page.path("notReadyReason").asText());
        }
    }
}
