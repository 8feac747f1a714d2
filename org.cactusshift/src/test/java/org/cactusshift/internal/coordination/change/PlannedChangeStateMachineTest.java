package org.cactusshift.internal.coordination.change;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.OrderId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.order.Order;
import org.cactusshift.internal.coordination.order.OrderContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class PlannedChangeStateMachineTest {
    private static final ChangeTiming TIMING = new ChangeTiming(15_000, 2_000, 1_000, 60_000);
    private static final DrainResponse QUIET = DrainResponse.acknowledged(0);
    private static final OrderContent LOAD_V2 = new OrderContent.LoadVersion("v2");
    private static final long ROUND_MILLIS = 500;

    private final PlannedChangeStateMachine machine = PlannedChangeStateMachine.create(TIMING);

    static UpstreamConfig engine(String id, UpstreamConfig.Role role) {
        return new UpstreamConfig(
                UpstreamId.fromString(id),
                ServiceId.fromString("share-lm"),
                FailureDomainId.fromString("ostend-a"),
                "127.0.0.1:1",
                role,
                false,
                true,
                false,
                1,
                64);
    }

    private PlannedChange started() {
        return machine.start(new RequiredChange(engine("engine-2", UpstreamConfig.Role.MIXED), LOAD_V2), 0);
    }

    private PlannedChange round(PlannedChange change, long nowMillis, DrainResponse... responses) {
        return machine.onRound(change, List.of(responses), nowMillis, nowMillis);
    }

    @Test
    void mayOrderAfterTwoConsecutiveQuietRounds() {
        PlannedChange once = round(started(), 0, QUIET, QUIET);
        assertFalse(machine.mayOrder(once, 0));
        PlannedChange twice = round(once, ROUND_MILLIS, QUIET, QUIET);
        assertTrue(machine.mayOrder(twice, ROUND_MILLIS));
        assertFalse(machine.mayOrder(twice, ROUND_MILLIS + TIMING.roundValidityMillis() + 1));
    }

    @Test
    void doesNotCountRoundsThatAreTooFarApart() {
        long laterMillis = TIMING.roundValidityMillis() + 1;
        assertFalse(machine.mayOrder(round(round(started(), 0, QUIET), laterMillis, QUIET), laterMillis));
    }

    static Stream<DrainResponse> delayingResponses() {
        return Stream.of(
                DrainResponse.MISSING,
                DrainResponse.acknowledged(1),
                DrainResponse.declinedFor(UpstreamId.fromString("engine-3")));
    }

    @ParameterizedTest
    @MethodSource("delayingResponses")
    void isDelayedByOneNodeAndPostponedAtDrainTimeoutButNeverForced(DrainResponse delay) {
        PlannedChange change = started();
        for (long nowMillis = 0; nowMillis < TIMING.drainTimeoutMillis(); nowMillis += ROUND_MILLIS) {
            change = round(change, nowMillis, QUIET, delay);
            assertEquals(PlannedChange.Phase.DRAINING, change.phase());
            assertFalse(machine.mayOrder(change, nowMillis));
        }
        change = round(change, TIMING.drainTimeoutMillis(), QUIET, delay);
        assertEquals(PlannedChange.Phase.PUT_OFF, change.phase());
        assertFalse(machine.mayOrder(change, TIMING.drainTimeoutMillis()));
    }

    @ParameterizedTest
    @MethodSource("delayingResponses")
    void continuesOnceNodeIsGone(DrainResponse delay) {
        PlannedChange change = round(round(started(), 0, QUIET, delay), ROUND_MILLIS, QUIET);
        assertFalse(machine.mayOrder(change, ROUND_MILLIS));
        assertTrue(machine.mayOrder(round(change, 2 * ROUND_MILLIS, QUIET), 2 * ROUND_MILLIS));
    }

    @Test
    void yieldsToEngineWithLowerId() {
        PlannedChange change = round(started(), 0, DrainResponse.declinedFor(UpstreamId.fromString("engine-1")));
        assertEquals(PlannedChange.Phase.GAVE_WAY, change.phase());
        assertEquals(new Postponement(0, TIMING.yieldDelayMillis()), machine.postpone(change, Optional.empty(), 0));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 40})
    void delayDoublesAfterEachFailureUpToMaximum(int failures) {
        PlannedChange timedOut = round(started(), TIMING.drainTimeoutMillis(), DrainResponse.MISSING);
        // The shift is limited so that it does not overflow; the maximum delay is reached before.
        long expected = Math.min(TIMING.drainTimeoutMillis() << Math.min(failures, 10), TIMING.maximumBackoffMillis());
        Postponement next =
                machine.postpone(timedOut, Optional.of(new Postponement(failures, 0)), TIMING.drainTimeoutMillis());
        assertEquals(new Postponement(failures + 1, TIMING.drainTimeoutMillis() + expected), next);
    }

    @Test
    void drainsAgainBeforeTakenOverOrderIsSentAndNeverPostponesIt() {
        Order order = Order.toEngine(OrderId.fromString("o-1"), engine("engine-2", UpstreamConfig.Role.MIXED), LOAD_V2);
        PlannedChange takenOver = machine.takeOver(order, 0);
        assertFalse(machine.mayOrder(takenOver, 0));
        PlannedChange delayed = round(takenOver, 2 * TIMING.drainTimeoutMillis(), DrainResponse.MISSING);
        assertEquals(PlannedChange.Phase.ORDERED, delayed.phase());
        assertFalse(machine.mayOrder(delayed, 2 * TIMING.drainTimeoutMillis()));
    }

    @Test
    void isDoneOnlyWhenEngineReportsChange() {
        PlannedChange ordered = machine.onSubmitted(started());
        assertEquals(
                PlannedChange.Phase.DONE,
                machine.onOrderEnded(ordered, status("v2")).phase());
        assertEquals(
                PlannedChange.Phase.PUT_OFF,
                machine.onOrderEnded(ordered, status("v1")).phase());
        assertEquals(
                PlannedChange.Phase.PUT_OFF,
                machine.onOrderEnded(ordered, Optional.empty()).phase());
    }

    static Optional<EngineStatus> status(String version) {
        return Optional.of(new EngineStatus(version, UpstreamConfig.Role.MIXED, false));
    }
}
