package org.cactusshift.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.cactusshift.config.Json;
import org.cactusshift.standin.KeyValueSettings;
import org.cactusshift.standin.StandInKeyValueService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs commands in this process, against a stand-in key-value store where they need one. */
class MainTest {
    private static final int WIDTH_CHARS = 80;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final Main main = Main.of(CommandRegistry.standard(), new Console(stream(out), stream(err)));
    private StandInKeyValueService store;

    @TempDir
    private Path directory;

    @BeforeEach
    void startStore() throws Exception {
        store = StandInKeyValueService.create(KeyValueSettings.unlimited());
        store.start();
    }

    @AfterEach
    void stopStore() {
        store.close();
    }

    // Status 1: the configuration file, the store or the trace can't be read; status 2: the command line is invalid, or
    // the file of --secret-file can't be read.
    @ParameterizedTest
    @CsvSource({
        "'', 2",
        "--help, 0",
        "nonsense, 2",
        "config, 2",
        "version, 0",
        "version surplus, 2",
        "version --bad, 2",
        "config validate --site be-coast, 0",
        "config validate --site gh-south, 0",
        "config validate --site absent, 1",
        "config validate --site 'a b', 2",
        "config validate, 2",
        "config show --site be-coast, 0",
        "config apply --site be-coast --store 127.0.0.1:1, 2",
        "config apply --site be-coast --store 127.0.0.1:1 --against x, 2",
        "config apply --site be-coast --store 127.0.0.1:1 --against -1, 2",
        "config apply --site be-coast --store somewhere --against 0, 2",
        "config apply --site be-coast --store 127.0.0.1:1 --against 0, 1",
        "config history --site be-coast --store 127.0.0.1:1, 1",
        "key create --site be-coast --store 127.0.0.1:1 --account a --secret-file /absent, 2",
        "key withdraw --site be-coast --store 127.0.0.1:1, 2",
        "account list --site be-coast, 0",
        "replay, 2",
        "replay absent, 1",
    })
    void commandLineReturnsExitStatusAndFailuresPrintToErrOnly(String line, int status) {
        assertEquals(status, run(line.isEmpty() ? new String[0] : line.split(" ")), text(err));
        assertEquals(
                status != ExitStatus.SUCCESS, !text(err).isEmpty() && text(out).isEmpty());
    }

    static Stream<String> commands() {
        return CommandRegistry.standard().commands().stream().map(Command::name);
    }

    @ParameterizedTest
    @MethodSource("commands")
    void everyCommandHasHelpThatFitsTheTerminal(String name) {
        assertEquals(ExitStatus.SUCCESS, run((name + " --help").split(" ")));
        assertTrue(text(out).contains("usage: cactusshift " + name));
        assertEquals(ExitStatus.SUCCESS, run("--help"));
        text(out).lines().forEach(line -> assertTrue(line.length() <= WIDTH_CHARS, line));
    }

    @Test
    void validateListsEveryProblemAsJson() throws Exception {
        Path base = directory.resolve("base.json");
        Files.writeString(base, "{\"schemaVersion\":2,\"surplus\":1}");
        assertEquals(ExitStatus.FAILED, run("config", "validate", "--base", base.toString(), "--json"));
        JsonNode problems = Json.mapper().readTree(out.toByteArray());

        assertTrue(problems.size() > 5, problems::toString);
        assertTrue(problems.findValuesAsText("pointer").containsAll(List.of("/schemaVersion", "/surplus", "/site")));
        problems.forEach(
                problem -> assertEquals(base.toString(), problem.get("file").asText()));
    }

    @Test
    void configApplyRejectsChangeBasedOnOldVersionAndHistoryKeepsBothVersions() throws Exception {
        assertEquals(ExitStatus.SUCCESS, runOnSite("config apply --against 0 --comment first"));
        assertEquals(ExitStatus.SUCCESS, runOnSite("config apply --against 1"), "an equal configuration is no fault");
        assertEquals(ExitStatus.SUCCESS, runOnSite("config diff"));
        Path overlay = overlayWithMember("/timing", "{\"heartbeatMillis\":400}");
        assertEquals(ExitStatus.SUCCESS, runOnSite("config apply --against 1 --overlay " + overlay));
        out.reset();
        assertEquals(ExitStatus.FAILED, runOnSite("config apply --against 1 --json"));
        assertEquals(
                "[{\"pointer\":\"/timing/heartbeatMillis\",\"accepted\":\"400\",\"proposed\":\"500\"}]",
                Json.mapper().readTree(out.toByteArray()).get("differences").toString());
        out.reset();
        assertEquals(ExitStatus.SUCCESS, runOnSite("config history --json"));
        assertEquals(
                List.of("2", "1"), Json.mapper().readTree(out.toByteArray()).findValuesAsText("version"));
        out.reset();
        assertEquals(ExitStatus.SUCCESS, runOnSite("config show --version 1"));
        assertEquals(
                500,
                Json.mapper()
                        .readTree(out.toByteArray())
                        .at("/timing/heartbeatMillis")
                        .asInt());
    }

    @Test
    void createdKeyIsPrintedToOutOnlyAndRevokedKeysStayRevokedAfterReapplyingFiles() throws Exception {
        Path secret = Files.writeString(directory.resolve("secret"), "00112233445566778899aabbccddeeff\n");
        runOnSite("config apply --against 0");
        out.reset();
        assertEquals(ExitStatus.SUCCESS, runOnSite("key create --account auditors --secret-file " + secret));
        String key = text(out).strip();
        String id = key.substring("cs-".length(), key.lastIndexOf('.'));
        assertTrue(accountListOutput().contains(id));
        assertEquals(ExitStatus.SUCCESS, runOnSite("key withdraw --key " + id));
        assertFalse(accountListOutput().contains(id));
        assertEquals(ExitStatus.SUCCESS, runOnSite("key withdraw --key auditors-1"));
        // Four versions so far: the first apply, a created key and two revoked ones.
        assertEquals(ExitStatus.SUCCESS, runOnSite("config apply --against 4"), text(err));
        assertFalse(accountListOutput().contains("auditors-1"));
        assertEquals(ExitStatus.FAILED, runOnSite("key withdraw --key absent"));
        assertFalse(text(err).contains(key.substring(key.lastIndexOf('.') + 1)));
    }

    private String accountListOutput() {
        out.reset();
        runOnSite("account list");
        return text(out);
    }

    private Path overlayWithMember(String pointer, String json) throws Exception {
        JsonNode overlay = Json.mapper()
                .readTree(CommonOptions.examplesDirectory()
                        .resolve("overlays/be-coast.json")
                        .toFile());
        ((ObjectNode) overlay).set(pointer.substring(1), Json.mapper().readTree(json));
        Path file = directory.resolve("overlay.json");
        Files.write(file, Json.canonicalBytes(overlay));
        return file;
    }

    private int runOnSite(String line) {
        return run((line + " --site be-coast --store " + store.address()).split(" "));
    }

    private int run(String... args) {
        return main.run(args);
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }
}
