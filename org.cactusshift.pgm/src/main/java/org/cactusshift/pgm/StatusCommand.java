package org.cactusshift.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.cactusshift.config.Json;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.transport.http.ClientExchange;
import org.cactusshift.internal.transport.http.ClientSettings;
import org.cactusshift.internal.transport.http.HttpClientPool;
import org.cactusshift.internal.transport.http.WaitObserver;

/** Shows the status of nodes. */
public final class StatusCommand implements Command {
    private static final ClientSettings CLIENT = new ClientSettings(2_000, 5_000, 4, 1_000);
    private static final int MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024;
    private static final String KEY_VARIABLE = "CACTUSSHIFT_OPERATOR_KEY";
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
                        .desc("shows instead why a request went where it went")
                        .get());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        if (line.getArgList().isEmpty()) {
            throw new UsageException("operator addresses of nodes are needed, as IP:PORT");
        }
        Optional<String> request = Optional.ofNullable(line.getOptionValue("explain"));
        boolean asJson = line.hasOption("json") || request.isPresent();
        if (!asJson) {
            console.out().printf(ROW, "instance", "ready", "config", "keys", "open", "duties");
        }
        boolean complete = true;
        for (String address : line.getArgList()) {
            try {
                JsonNode page =
                        read(address, request.map(id -> "/explain/" + id).orElse("/status"));
                print(page, asJson, console);
            } catch (IOException e) {
                console.err().println("cactusshift status: " + address + ": " + e.getMessage());
                complete = false;
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

    private static JsonNode read(String address, String path) throws IOException, CactusshiftException {
        ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
        try (HttpClientPool pool = HttpClientPool.create(
                () -> CLIENT, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), scheduler)) {
            ClassicRequestBuilder request = ClassicRequestBuilder.get(path);
            String key = System.getenv(KEY_VARIABLE);
            if (key != null) {
                request.addHeader("Authorization", "Bearer " + key);
            }
            var sent = pool.send(address, request.build(), WaitObserver.PATIENT);
            if (sent.isLeft()) {
                throw sent.getLeft();
            }
            try (ClientExchange exchange = sent.get()) {
                JsonNode page = Json.mapper().readTree(exchange.readAll(MAXIMUM_ANSWER_BYTES));
                if (exchange.status() != 200) {
                    throw new CactusshiftException(Failure.rejected(
                            "read page", address, page.path("error").asText("status " + exchange.status())));
                }
                return page;
            }
        } finally {
            scheduler.shutdownNow();
        }
    }
}
