package org.cactusshift.systemtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.ServiceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Sends chats, no two alike, with a message that crashes each engine that runs them to all nodes, beside sound
 * chats of the same account with the same first message.
 */
class CrashInducingMessageTest {
    private static final String MODEL = "share-lm";
    private static final String CRASH_MARKER = "crashing document";

    /** As many crashes as may precede the refusal of the message at all nodes. */
    private static final int MAXIMUM_CRASHES = 5;

    private static final int CRASHING_CHATS = 3 * FaultTestSite.NODE_COUNT;

    private int chats;

    private Caller.Response chat(FaultTestSite site, Caller caller, int node, String document) throws IOException {
        chats++;
        String message = "{\"role\":\"%s\",\"content\":\"%s\"}";
        String body = "{\"model\":\"" + MODEL + "\",\"max_tokens\":4,\"messages\":["
                + message.formatted("system", "Answer briefly.") + "," + message.formatted("user", document) + ","
                + message.formatted("user", "question " + chats) + "]}";
        return caller.post(site.nodes().get(node).callerAddress(), "/v1/chat/completions", body, "");
    }

    private static long crashes(FaultTestSite site) {
        return site.platform().engines().stream()
                .mapToLong(engine -> engine.log()
                        .matching(request -> request.body().contains(CRASH_MARKER))
                        .size())
                .sum();
    }

    /** Guards against requests with one message in common, no two alike, that crash engine after engine. */
    @Test
    void messageThatCrashesEnginesIsRefusedAtAllNodesAndSoundChatsAreServed(@TempDir Path directory) throws Exception {
        try (FaultTestSite site = FaultTestSite.start(directory)) {
            site.platform().engines().forEach(engine -> engine.faults().setCrashMarker(Optional.of(CRASH_MARKER)));
            AccountId account = site.config().accounts().stream()
                    .filter(candidate -> candidate.services().contains(ServiceId.fromString(MODEL)))
                    .map(AccountConfig::id)
                    .findFirst()
                    .orElseThrow();
            try (Caller caller = new Caller(site.bearerToken(account))) {
                List<Integer> statuses = new ArrayList<>();
                for (int i = 0; i < CRASHING_CHATS; i++) {
                    int node = i % site.nodes().size();
                    statuses.add(chat(site, caller, node, CRASH_MARKER).status());
                    Caller.Response sound = chat(site, caller, node, "document " + i);
                    assertEquals(200, sound.status(), sound.text());
                }
                assertTrue(crashes(site) <= MAXIMUM_CRASHES, crashes(site) + " crashes, " + statuses);
                assertEquals(
                        Collections.nCopies(FaultTestSite.NODE_COUNT, 422),
                        statuses.subList(CRASHING_CHATS - FaultTestSite.NODE_COUNT, CRASHING_CHATS));
            }
        }
    }
}
