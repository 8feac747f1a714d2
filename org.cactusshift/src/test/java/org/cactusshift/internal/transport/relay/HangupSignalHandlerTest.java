package org.cactusshift.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HangupSignalHandlerTest {
    private static final long LONGEST_WAIT_SECONDS = 20;

    private static void sendHangup() throws IOException, InterruptedException {
        String pid = Long.toString(ProcessHandle.current().pid());
        assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void signalReachesTheListenerWhetherSentBeforeOrAfterItIsSet(boolean signalFirst)
            throws IOException, InterruptedException {
        HangupSignalHandler hangup = HangupSignalHandler.install();
        assertEquals(Optional.empty(), hangup.installationFailure());
        CountDownLatch received = new CountDownLatch(1);
        if (signalFirst) {
            sendHangup();
            hangup.setListener(received::countDown);
        } else {
            hangup.setListener(received::countDown);
            sendHangup();
        }
        assertTrue(received.await(LONGEST_WAIT_SECONDS, TimeUnit.SECONDS));
    }
}
