package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EqualUpstreamsTest {
    private static final ServedRoute ROUTE =
            ServingFixture.route(RequestKind.NOT_REPEATABLE, ServingFixture.PLAIN, 120, 1_500);
    private static final int REQUESTS = 147;
    private static final long INTERVAL_MILLIS = 140;
    private static final long WORK_MILLIS = 43;
    private static final long FIRST_WORK_MILLIS = 400;

    private final ServingFixture fixture = new ServingFixture();

    private record End(long atMillis, long sentAtMillis, Upstream upstream, SentWork work) {}

    /** Guards against an upstream whose first responses after its start were slow and that is hardly used again. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void upstreamWithSlowFirstResponsesGetsAsMuchWorkAsItsEqual(long seed) {
        Upstream first = fixture.add("a", ServingFixture.PLAIN, ServingFixture.LOCAL_DOMAIN, EngineStage.ANY);
        Upstream second = fixture.add("b", ServingFixture.PLAIN, ServingFixture.LOCAL_DOMAIN, EngineStage.ANY);
        SplittableRandom random = new SplittableRandom(seed);
        Map<Upstream, Integer> sent = new HashMap<>(Map.of(first, 0, second, 0));
        PriorityQueue<End> ends = new PriorityQueue<>((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
        long now = 0;
        for (int i = 0; i < REQUESTS; i++) {
            now += random.nextLong(2 * INTERVAL_MILLIS);
            while (!ends.isEmpty() && ends.peek().atMillis() <= now) {
                onEnd(ends.remove());
            }
            Upstream target = fixture.place(ServingFixture.request("q" + i, ROUTE, List.of()), now)
                    .orElseThrow()
                    .target();
            SentWork work = target.workOf(EngineStage.ANY, 0, true, now);
            target.onSend(0, now);
            int count = sent.merge(target, 1, Integer::sum);
            boolean isSlow = target == second && count <= 3;
            ends.add(new End(now + (isSlow ? FIRST_WORK_MILLIS : WORK_MILLIS), now, target, work));
        }
        double ratio =
                (double) Math.max(sent.get(first), sent.get(second)) / Math.min(sent.get(first), sent.get(second));
        assertTrue(ratio <= 1.5, () -> sent.get(first) + " and " + sent.get(second) + " requests");
    }

    /** Guards against an upstream that is avoided for ever because of one failed attempt. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void upstreamWithOneFailureIsUsedAgain(long failures) {
        Upstream failed = fixture.add("a", ServingFixture.PLAIN, ServingFixture.LOCAL_DOMAIN, EngineStage.ANY);
        fixture.add("b", ServingFixture.PLAIN, ServingFixture.LOCAL_DOMAIN, EngineStage.ANY);
        for (int i = 0; i < failures; i++) {
            failed.onFailedAttempt(0);
        }
        int used = 0;
        for (int i = 0; i < 40; i++) {
            long now = 30_000 + 1_000 * i;
            Upstream target = fixture.place(ServingFixture.request("q" + i, ROUTE, List.of()), now)
                    .orElseThrow()
                    .target();
            target.onSend(0, now);
            target.onFirstResponsePart(0, now);
            target.onEnd();
            used += target == failed ? 1 : 0;
        }
        assertTrue(used >= 16 && used <= 24, used + " of 40 requests");
    }

    private void onEnd(End end) {
        long tookMillis = end.atMillis() - end.sentAtMillis();
        end.upstream().onFirstResponsePart(0, end.atMillis());
        end.upstream().onEnd();
        fixture.responseTimes.onFirstPart(end.upstream(), end.work(), tookMillis, end.atMillis());
    }
}
