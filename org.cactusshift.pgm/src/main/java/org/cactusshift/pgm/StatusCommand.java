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
                        .desc("shows each node's routing decisions for this request instead")
                        .get());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        if (line.getArgList().isEmpty()) {
            throw new UsageException("at least one operator address is required, as IP:PORT");
        }
        Optional<String> requestId = Optional.ofNullable(line.getOptionValue("explain"));
        boolean asJson = line.hasOption("json") || requestId.isPresent();
        if (!asJson) {
            console.out().printf(ROW, "instance", "ready", "config", "keys", "open", "duties");
        }
        boolean allResponded = true;
        String path = requestId.map(id -> "/explain/" + id).orElse("/status");
        try (OperatorClient client = OperatorClient.create()) {
            for (String address : line.getArgList()) {
                try {
                    print(client.read(address, path), asJson, console);
                } catch (IOException e) {
                    console.err().println("cactusshift status: " + address + ": " + e.getMessage());
                    allResponded = false;
                }
            }
        }
        return allResponded ? ExitStatus.SUCCESS : ExitStatus.FAILED;
    }

    private static void print(JsonNode body, boolean asJson, Console console) {
        if (asJson) {
            console.out().println(body.toPrettyString());
            return;
        }
        console.out()
                .printf(
                        ROW,
                        body.path("instance").asText(),
                        body.path("ready").asBoolean() ? "yes" : "NO",
                        body.path("configVersion").asText(),
                        body.path("keyView").asText(),
                        body.path("openRequests").asText(),
                        body.path("duties").size());
        body.path("members")
                .forEach(member -> console.out()
                        .printf(
                                "  sees %-14s %-14s %s%n",
                                member.path("instance").asText(),
                                member.path("failureDomain").asText(),
                                member.path("state").asText()));
        if (body.has("notReadyReason")) {
            console.out().println("  not ready: " + body.path("notReadyReason").asText());
        }
    }
}
