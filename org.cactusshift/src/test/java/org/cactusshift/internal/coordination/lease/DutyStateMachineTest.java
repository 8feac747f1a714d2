package org.cactusshift.internal.coordination.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.store.LeaseGrant;

class DutyStateMachineTest {
    private static final Set<DutyId> DUTIES = Set.of(DutyId.usage(0), DutyId.usage(1), DutyId.claim(0));
    private static final int STEPS = 120;
    private static final int HEALING_STEPS = 150;
    private static final LeaseTiming TIMING = LeaseTiming.ofTtl(6_000);
    private static final DutyHolder SELF =
            new DutyHolder(InstanceId.fromString("a"), IncarnationId.fromString("a1"), "127.0.0.1:1", 0);

    @Property(tries = 4_000, seed = "4711", shrinking = ShrinkingMode.OFF)
    void atMostOneNodeHasAuthorityAndTheDutyKeyExistsDespiteFaults(@ForAll long seed) {
        // The simulation requires the key of a duty only while a node has authority for it.
        DutySimulation simulation = new DutySimulation(seed, 4, DUTIES);
        simulation.run(STEPS);
        assertEquals(List.of(), simulation.violations());
    }

    @Property(tries = 500, seed = "4712", shrinking = ShrinkingMode.OFF)
    void everyDutyHasOneHolderAfterFaultsEnd(@ForAll long seed) {
        DutySimulation simulation = new DutySimulation(seed, 4, DUTIES);
        simulation.run(STEPS);
        simulation.heal(HEALING_STEPS);
        assertEquals(List.of(), simulation.violations());
        for (DutyId duty : DUTIES) {
            long holders = simulation.nodes().stream()
                    .filter(node -> node.authority(duty, node.clockMillis()).isPresent())
                    .count();
            assertEquals(1, holders, duty.toString());
        }
    }

    @Example
    void checkerDetectsLeaseExpiryCountedFromTheResponse() {
        boolean caught = false;
        for (long seed = 0; seed < 200 && !caught; seed++) {
            DutySimulation simulation = new DutySimulation(seed, 4, DUTIES).injectExpiryFromResponse();
            simulation.run(STEPS);
            caught = !simulation.violations().isEmpty();
        }
        assertTrue(caught);
    }

    @Example
    void authorityEndsOneClockMarginBeforeTheTimeToLiveCountedFromSending() {
        DutyStateMachine machine = DutyStateMachine.create(SELF, TIMING);
        DutyState state = machine.apply(
                        DutyState.INITIAL, new DutyEvent.LeaseGranted(new LeaseGrant(7, 6_000), 100), 900)
                .state();
        state = machine.apply(state, new DutyEvent.DutyAcquired(DutyId.usage(0), 7, 42), 950)
                .state();
        long endMillis = 100 + 6_000 - TIMING.clockMarginMillis();
        assertTrue(state.authority(DutyId.usage(0), endMillis - 1).isPresent());
        assertFalse(state.authority(DutyId.usage(0), endMillis).isPresent());
    }

    @Example
    void keyWrittenUnderExpiredLeaseGivesNoAuthority() {
        DutyStateMachine machine = DutyStateMachine.create(SELF, TIMING);
        DutyState state = machine.apply(DutyState.INITIAL, new DutyEvent.LeaseGranted(new LeaseGrant(7, 6_000), 0), 1)
                .state();
        state = machine.apply(state, new DutyEvent.LeaseFailed(new LeaseGrant(7, 6_000), true), 2)
                .state();
        state = machine.apply(state, new DutyEvent.LeaseGranted(new LeaseGrant(8, 6_000), 3), 4)
                .state();
        state = machine.apply(state, new DutyEvent.DutyAcquired(DutyId.usage(0), 7, 42), 5)
                .state();
        assertFalse(state.authority(DutyId.usage(0), 6).isPresent());
    }

    @Example
    void acquiredKeyWithLostResponseIsFoundByTheNextRead() {
        DutyStateMachine machine = DutyStateMachine.create(SELF, TIMING);
        DutyState state = machine.apply(DutyState.INITIAL, new DutyEvent.LeaseGranted(new LeaseGrant(7, 6_000), 0), 1)
                .state();
        state = machine.apply(state, new DutyEvent.AcquisitionFailed(DutyId.usage(0)), 2)
                .state();
        DutyEvent.Entry entry = new DutyEvent.Entry(SELF.withLease(7), 42);
        state = machine.apply(state, new DutyEvent.DutiesListed(Map.of(DutyId.usage(0), entry)), 3)
                .state();
        assertEquals(42, state.authority(DutyId.usage(0), 4).orElseThrow().fencingNumber());
    }

    /**
     * Guards against two holders at a time: a node that was granted the duty after the copy was taken, and does not
     * know of the restore, acts until its lease expires.
     */
    @Example
    void nodeGivesUpItsDutiesAfterARestoreAndAcquiresNoneForATimeToLive() {
        DutyStateMachine machine = DutyStateMachine.create(SELF, TIMING);
        DutyState state = machine.apply(DutyState.INITIAL, new DutyEvent.LeaseGranted(new LeaseGrant(7, 6_000), 0), 1)
                .state();
        state = machine.apply(state, new DutyEvent.DutyAcquired(DutyId.usage(0), 7, 42), 2)
                .state();
        state = machine.apply(state, new DutyEvent.StoreRestored(), 3).state();
        assertFalse(state.authority(DutyId.usage(0), 4).isPresent());
        for (long now = 4; now < 3 + TIMING.ttlMillis(); now += 50) {
            DutyStateMachine.Step step = machine.apply(state, new DutyEvent.Tick(DUTIES, Set.of()), now);
            assertFalse(step.actions().contains(new DutyAction.GrantLease()), "at " + now);
            state = machine.apply(step.state(), new DutyEvent.DutiesListed(Map.of()), now)
                    .state();
        }
        DutyStateMachine.Step step = machine.apply(state, new DutyEvent.Tick(DUTIES, Set.of()), 3 + TIMING.ttlMillis());
        assertTrue(step.actions().contains(new DutyAction.GrantLease()));
    }

    @Example
    void nodeWithoutDutiesRequestsNoLease() {
        DutyStateMachine machine = DutyStateMachine.create(SELF, TIMING);
        DutyState state = machine.apply(DutyState.INITIAL, new DutyEvent.DutiesListed(Map.of()), 0)
                .state();
        DutyStateMachine.Step step =
                machine.apply(state, new DutyEvent.Tick(Set.of(), Set.of()), TIMING.pollPeriodMillis());
        assertEquals(List.of(new DutyAction.ListDuties()), step.actions());
    }

    @Example
    void stoppingNodeHasNoAuthorityAndRevokesItsLease() {
        DutyStateMachine machine = DutyStateMachine.create(SELF, TIMING);
        LeaseGrant grant = new LeaseGrant(7, 6_000);
        DutyState state = machine.apply(DutyState.INITIAL, new DutyEvent.LeaseGranted(grant, 0), 1)
                .state();
        state = machine.apply(state, new DutyEvent.DutyAcquired(DutyId.usage(0), 7, 42), 2)
                .state();
        state = machine.apply(state, new DutyEvent.StopRequested(), 3).state();
        assertFalse(state.authority(DutyId.usage(0), 4).isPresent());
        DutyStateMachine.Step step = machine.apply(state, new DutyEvent.Tick(DUTIES, Set.of()), 5);
        assertEquals(List.of(new DutyAction.RevokeLease(grant)), step.actions());
    }

    @Example
    void stoppingNodeRevokesOnceThePendingRenewalIsDone() {
        DutyStateMachine machine = DutyStateMachine.create(SELF, TIMING);
        LeaseGrant grant = new LeaseGrant(7, 6_000);
        DutyState state = machine.apply(DutyState.INITIAL, new DutyEvent.LeaseGranted(grant, 0), 1)
                .state();
        state = machine.apply(state, new DutyEvent.DutyAcquired(DutyId.usage(0), 7, 42), 2)
                .state();
        DutyEvent.Tick tick = new DutyEvent.Tick(DUTIES, Set.of());
        DutyStateMachine.Step renewing = machine.apply(state, tick, TIMING.renewalPeriodMillis());
        assertTrue(renewing.actions().contains(new DutyAction.RenewLease(grant)));
        state = machine.apply(renewing.state(), new DutyEvent.StopRequested(), TIMING.renewalPeriodMillis())
                .state();
        assertEquals(
                List.of(),
                machine.apply(state, tick, TIMING.renewalPeriodMillis()).actions());
        state = machine.apply(
                        state,
                        new DutyEvent.LeaseGranted(grant, TIMING.renewalPeriodMillis()),
                        TIMING.renewalPeriodMillis())
                .state();
        assertEquals(
                List.of(new DutyAction.RevokeLease(grant)),
                machine.apply(state, tick, TIMING.renewalPeriodMillis()).actions());
    }
}
