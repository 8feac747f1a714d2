package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.OptionalInt;
import org.cactusshift.standin.StandInClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class NodeProcessTest {
    private static final long TIMEOUT_MILLIS = 60_000;

    private static final int SIGKILL_EXIT_STATUS = 128 + 9;

    private static final int SIGTERM_EXIT_STATUS = 128 + 15;

    private final StandInClient client = StandInClient.create();

    private String address;

    private NodeProcess process;

    @BeforeEach
    void start(@TempDir Path directory) throws IOException, InterruptedException {
        address = FreePorts.addresses(1).get(0);
        String port = address.substring(address.lastIndexOf(':') + 1);
        process = NodeProcess.start(PlainServiceMain.class.getName(), directory.resolve("out"), port);
        assertTrue(process.awaitOk(client, address, "/load", TIMEOUT_MILLIS), process.output());
    }

    @AfterEach
    void stop() {
        process.close();
        client.close();
    }

    @Test
    void pausedProcessSendsNoResponseUntilResumed() throws IOException {
        process.pause();
        assertThrows(IOException.class, () -> client.get(address, "/load"));
        assertTrue(process.isAlive());
        process.resume();
        assertEquals(200, client.get(address, "/load").status());
    }

    @Test
    void killedProcessEndsWithoutItsShutdownHook() throws IOException, InterruptedException {
        process.kill();
        assertEquals(OptionalInt.of(SIGKILL_EXIT_STATUS), process.awaitExit(TIMEOUT_MILLIS));
        assertFalse(process.output().contains("stopping"));
        assertThrows(IOException.class, () -> client.get(address, "/load"));
    }

    @Test
    void terminatedProcessRunsItsShutdownHook() throws IOException, InterruptedException {
        process.terminate();
        assertEquals(OptionalInt.of(SIGTERM_EXIT_STATUS), process.awaitExit(TIMEOUT_MILLIS));
        assertTrue(process.output().contains("stopping"));
    }

    @Test
    void closeKillsPausedProcess() throws IOException {
        process.pause();
        process.close();
        assertFalse(process.isAlive());
    }
}
