package org.cactusshift.internal.coordination.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.SiteId;
import org.cactusshift.internal.coordination.usage.UsageWindows.Acceptance;
import org.cactusshift.messages.UsageBatch;
import org.cactusshift.messages.UsageCount;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UsageWindowsTest {
    private static final long WINDOW_MILLIS = 5_000;
    private static final long GRACE_MILLIS = 3_000;
    private static final long NOW_EPOCH_MILLIS = 1_000_000_000;
    private static final UsageStream STREAM = new UsageStream(IncarnationId.fromString("start-1"), NOW_EPOCH_MILLIS);

    private final UsageWindows windows =
            UsageWindows.load(SiteId.fromString("be-coast"), 3, WINDOW_MILLIS, GRACE_MILLIS, new byte[0]);

    @Test
    void countForSealedWindowIsAddedToTheNextWindowAsLate() {
        windows.accept(STREAM, batch(1, 10, NOW_EPOCH_MILLIS), NOW_EPOCH_MILLIS);
        long afterMillis = NOW_EPOCH_MILLIS + WINDOW_MILLIS + GRACE_MILLIS;
        windows.advanceTo(afterMillis);
        windows.accept(STREAM, batch(2, 7, NOW_EPOCH_MILLIS), afterMillis);
        windows.advanceTo(afterMillis + WINDOW_MILLIS);
        // The sealed windows are not reportable before they are durable.
        assertEquals(List.of(), windows.reportableWindows());
        windows.onDurable(windows.snapshot());
        List<SealedWindow> sealed = windows.reportableWindows();
        assertEquals(
                "{\"window\":\"be-coast.3.1000000000\",\"shard\":3,\"from_epoch_millis\":1000000000,"
                        + "\"to_epoch_millis\":1000005000,\"counts\":[{\"account\":\"acme\",\"service\":\"share-lm\","
                        + "\"prompt_tokens\":10,\"completion_tokens\":0,\"requests\":1,\"late_prompt_tokens\":0,"
                        + "\"late_completion_tokens\":0}]}",
                sealed.get(0).report());
        assertTrue(sealed.get(1).report().contains("\"prompt_tokens\":0"), sealed.toString());
        assertTrue(sealed.get(1).report().contains("\"late_prompt_tokens\":7"), sealed.toString());
    }

    @ParameterizedTest
    @CsvSource({"1,0,INCLUDED", "2,0,RETRY_LATER", "1,86400001,REFUSED"})
    void batchOfUnknownStreamIsAcceptedOnlyIfFirstAndRecent(long sequence, long ageMillis, Acceptance expected) {
        UsageStream stream = new UsageStream(STREAM.incarnation(), NOW_EPOCH_MILLIS - ageMillis);
        assertEquals(expected, windows.accept(stream, batch(sequence, 1, NOW_EPOCH_MILLIS), NOW_EPOCH_MILLIS));
    }

    @Test
    void duplicateBatchIsCountedOnceAlsoByASuccessor() {
        windows.accept(STREAM, batch(1, 10, NOW_EPOCH_MILLIS), NOW_EPOCH_MILLIS);
        UsageWindows successor = UsageWindows.load(
                SiteId.fromString("be-coast"),
                3,
                WINDOW_MILLIS,
                GRACE_MILLIS,
                windows.snapshot().body());
        assertEquals(1, successor.durableSequence(STREAM));
        assertEquals(Acceptance.INCLUDED, successor.accept(STREAM, batch(1, 10, NOW_EPOCH_MILLIS), NOW_EPOCH_MILLIS));
        successor.advanceTo(NOW_EPOCH_MILLIS + WINDOW_MILLIS + GRACE_MILLIS);
        successor.onDurable(successor.snapshot());
        assertTrue(successor.reportableWindows().get(0).report().contains("\"prompt_tokens\":10,"));
    }

    @Test
    void recordDoesNotExceedItsSizeLimit() {
        long sequence = 0;
        Acceptance acceptance = Acceptance.INCLUDED;
        while (acceptance == Acceptance.INCLUDED && sequence < 10_000) {
            sequence++;
            UsageBatch.Builder batch = UsageBatch.newBuilder().setSequence(sequence);
            for (int i = 0; i < 100; i++) {
                batch.addCounts(count("account-" + sequence + "-" + i, 1, NOW_EPOCH_MILLIS));
            }
            acceptance = windows.accept(STREAM, batch.build(), NOW_EPOCH_MILLIS);
        }
        assertEquals(Acceptance.RETRY_LATER, acceptance);
        assertTrue(windows.snapshot().body().length <= UsageWindows.MAXIMUM_RECORD_BYTES);
    }

    private static UsageBatch batch(long sequence, long promptTokens, long finishedAtEpochMillis) {
        return UsageBatch.newBuilder()
                .setSequence(sequence)
                .addCounts(count("acme", promptTokens, finishedAtEpochMillis))
                .build();
    }

    private static UsageCount count(String account, long promptTokens, long finishedAtEpochMillis) {
        return UsageCount.newBuilder()
                .setAccountId(account)
                .setServiceId("share-lm")
                .setPromptTokens(promptTokens)
                .setRequests(1)
                .setFinishedAtEpochMillis(finishedAtEpochMillis)
                .build();
    }
}
