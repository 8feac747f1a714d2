package org.cactusshift.internal.coordination.change;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.order.OrderContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ChangeSelectorTest {
    private static final FailureDomainId DOMAIN = FailureDomainId.fromString("ostend-a");

    /**
     * Parses engines from letters: m, p and d serve as mixed, prefill and decode engine, c is changing, x can't be
     * reached.
     */
    private static List<EngineReport> fleet(String letters, String version) {
        List<EngineReport> fleet = new ArrayList<>();
        for (char letter : letters.toCharArray()) {
            UpstreamConfig.Role role = letter == 'p'
                    ? UpstreamConfig.Role.PREFILL
                    : letter == 'd' ? UpstreamConfig.Role.DECODE : UpstreamConfig.Role.MIXED;
            Optional<EngineStatus> status =
                    letter == 'x' ? Optional.empty() : Optional.of(new EngineStatus(version, role, letter == 'c'));
            fleet.add(new EngineReport(PlannedChangeStateMachineTest.engine("engine-" + fleet.size(), role), status));
        }
        return fleet;
    }

    @ParameterizedTest
    @CsvSource({
        "m, none",
        "mm, engine-0",
        "mx, none",
        "mc, none",
        "xm, none",
        "xmm, engine-1",
        "pd, none",
        "ppd, engine-0",
        "pdd, engine-1",
        "mpd, engine-0",
        "mmc, none"
    })
    void selectsEngineThatCanBeTakenOutOfService(String letters, String expected) {
        assertEquals(
                expected,
                ChangeSelector.nextChange(DOMAIN, "v2", fleet(letters, "v1"), Map.of(), 0)
                        .map(next -> next.engine().id().value())
                        .orElse("none"));
    }

    @Test
    void skipsEnginesThatAreAsDeclaredOrPostponedOrInOtherFailureDomain() {
        List<EngineReport> fleet = fleet("mm", "v1");
        Map<UpstreamId, Postponement> postponementByEngine =
                Map.of(fleet.get(0).engine().id(), new Postponement(1, 10));
        FailureDomainId elsewhere = FailureDomainId.fromString("zeebrugge-b");

        assertEquals(Optional.empty(), ChangeSelector.nextChange(DOMAIN, "v1", fleet, Map.of(), 0));
        assertEquals(Optional.empty(), ChangeSelector.nextChange(elsewhere, "v2", fleet, Map.of(), 0));
        assertEquals(
                "engine-1",
                ChangeSelector.nextChange(DOMAIN, "v2", fleet, postponementByEngine, 9)
                        .get()
                        .engine()
                        .id()
                        .value());
        assertEquals(
                "engine-0",
                ChangeSelector.nextChange(DOMAIN, "v2", fleet, postponementByEngine, 10)
                        .get()
                        .engine()
                        .id()
                        .value());
    }

    @Test
    void changesRoleWhenEngineReportsAnother() {
        EngineReport report = new EngineReport(
                PlannedChangeStateMachineTest.engine("engine-0", UpstreamConfig.Role.PREFILL),
                PlannedChangeStateMachineTest.status("v1"));

        assertEquals(
                Optional.of(new RequiredChange(report.engine(), new OrderContent.SetRole(UpstreamConfig.Role.PREFILL))),
                ChangeSelector.requiredChange(report, "v1"));
    }
}
