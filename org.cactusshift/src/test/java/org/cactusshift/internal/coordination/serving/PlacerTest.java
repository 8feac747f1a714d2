package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cactusshift.id.UpstreamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PlacerTest {
    private static final ServedRoute STREAM =
            ServingFixture.route(RequestKind.STREAM, ServingFixture.MODEL, 600, 5_000);
    private static final ServedRoute NON_REPEATABLE =
            ServingFixture.route(RequestKind.NOT_REPEATABLE, ServingFixture.PLAIN, 120, 1_500);

    private final ServingFixture fixture = new ServingFixture();

    private void addEngines(int prefillEngines, int decodeEngines) {
        for (int i = 0; i < prefillEngines; i++) {
            fixture.add("reader-" + i, ServingFixture.MODEL, ServingFixture.LOCAL_DOMAIN, EngineStage.PREFILL);
        }
        for (int i = 0; i < decodeEngines; i++) {
            fixture.add("output-" + i, ServingFixture.MODEL, ServingFixture.LOCAL_DOMAIN, EngineStage.DECODE);
        }
    }

    @Test
    void noPlacementWithoutUpstreams() {
        assertTrue(fixture.place(ServingFixture.request("q", NON_REPEATABLE, List.of()), 0)
                .isEmpty());
    }

    /** Guards against requests that leave the engine which has their prompt cached because of a few samples. */
    @Test
    void enginesArePlacedByCachedPartsWhateverTheSamplesOfPeersSay() {
        addEngines(2, 2);
        ServingRequest request = ServingFixture.request("q", STREAM, ServingFixture.prompt(5, 13_000, 3_000));
        Upstream preferred =
                fixture.place(request, 0).orElseThrow().prefillEngine().orElseThrow();
        preferred.performance().onPeerSamples(16, 16 * Math.log(2), 0);
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    preferred,
                    fixture.place(request, 0).orElseThrow().prefillEngine().orElseThrow());
        }
    }

    @Test
    void plainRequestsSpreadOverEqualUpstreams() {
        for (int i = 0; i < 3; i++) {
            fixture.add("plain-" + i, ServingFixture.PLAIN, ServingFixture.LOCAL_DOMAIN, EngineStage.ANY);
        }
        Set<UpstreamId> used = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            Placement placement = fixture.place(ServingFixture.request("q" + i, NON_REPEATABLE, List.of()), 0)
                    .orElseThrow();
            placement.target().onSend(0, 0);
            used.add(placement.target().id());
        }
        assertEquals(3, used.size());
    }

    @Test
    void unreachableUpstreamIsReplacedByOneInAnotherFailureDomain() {
        Upstream near = fixture.add("near", ServingFixture.PLAIN, ServingFixture.LOCAL_DOMAIN, EngineStage.ANY);
        Upstream far = fixture.add("far", ServingFixture.PLAIN, ServingFixture.OTHER_DOMAIN, EngineStage.ANY);
        assertEquals(
                near,
                fixture.place(ServingFixture.request("q", NON_REPEATABLE, List.of()), 0)
                        .orElseThrow()
                        .target());
        near.onUnreachable(0, new SplittableRandom(1));
        assertEquals(
                far,
                fixture.place(ServingFixture.request("q", NON_REPEATABLE, List.of()), 0)
                        .orElseThrow()
                        .target());
    }

    @Test
    void nonRepeatableRequestDoesNotProbeAnUpstreamThatWasDown() {
        Upstream near = fixture.add("near", ServingFixture.PLAIN, ServingFixture.LOCAL_DOMAIN, EngineStage.ANY);
        fixture.add("far", ServingFixture.PLAIN, ServingFixture.OTHER_DOMAIN, EngineStage.ANY);
        near.onUnreachable(0, new SplittableRandom(1));
        Placement placement = fixture.place(ServingFixture.request("q", NON_REPEATABLE, List.of()), 60_000)
                .orElseThrow();
        assertNotEquals(near, placement.target());
    }

    /**
     * Scenario: an upstream refuses all requests, such as an engine that changes its stage; as it appears idle, it
     * would attract every request.
     */
    @Test
    void upstreamIsAvoidedForAPauseAfterARefusal() {
        Upstream refusing = fixture.add("a", ServingFixture.PLAIN, ServingFixture.LOCAL_DOMAIN, EngineStage.ANY);
        fixture.add("b", ServingFixture.PLAIN, ServingFixture.OTHER_DOMAIN, EngineStage.ANY);
        refusing.onRefused(true, 0);
        for (long now = 0; now < 100; now += 10) {
            Placement placement = fixture.place(ServingFixture.request("q" + now, NON_REPEATABLE, List.of()), now)
                    .orElseThrow();
            assertNotEquals(refusing, placement.target());
        }
    }

    @Test
    void upstreamIsAvoidedOnlyWhileItMakesNoProgress() {
        Upstream near = fixture.add("near", ServingFixture.PLAIN, ServingFixture.LOCAL_DOMAIN, EngineStage.ANY);
        Upstream far = fixture.add("far", ServingFixture.PLAIN, ServingFixture.OTHER_DOMAIN, EngineStage.ANY);
        near.onSend(0, 0);
        ServingRequest request = ServingFixture.request("q", NON_REPEATABLE, List.of());
        assertEquals(far, fixture.place(request, 5_000).orElseThrow().target());
        near.onProgress(4_900);
        assertEquals(near, fixture.place(request, 5_000).orElseThrow().target());
    }

    @Test
    void removedUpstreamReceivesNoRequests() {
        UpstreamEntry entry =
                ServingFixture.entry("a", ServingFixture.PLAIN, ServingFixture.LOCAL_DOMAIN, EngineStage.ANY);
        fixture.directory.put(entry);
        fixture.directory.remove(entry.id(), false, 0);
        assertTrue(fixture.place(ServingFixture.request("q", NON_REPEATABLE, List.of()), 0)
                .isEmpty());
    }

    @Test
    void uncachedSharedPartAlwaysGoesToTheSamePrefillEngine() {
        addEngines(4, 3);
        ServingRequest request = ServingFixture.request("q", STREAM, ServingFixture.prompt(5, 13_000, 3_000));
        Set<UpstreamId> prefillEngines = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            Placement placement = fixture.place(request, 0).orElseThrow();
            prefillEngines.add(placement.prefillEngine().orElseThrow().id());
        }
        assertEquals(1, prefillEngines.size());
    }

    @Test
    void cachedSharedPartIsFetchedWhenItsHolderIsBusy() {
        addEngines(2, 2);
        ServingRequest request = ServingFixture.request("q", STREAM, ServingFixture.prompt(5, 13_000, 3_000));
        Upstream preferred =
                fixture.place(request, 0).orElseThrow().prefillEngine().orElseThrow();
        preferred.onPrefilled(request.prompt().subList(0, 1), 8);
        preferred.onSend(60_000, 0);
        Placement placement = fixture.place(request, 0).orElseThrow();
        assertNotEquals(preferred, placement.prefillEngine().orElse(placement.target()));
        assertEquals(preferred, placement.fetchFrom().orElseThrow());
        assertEquals(3_000, placement.uncachedTokens());
    }

    /** Scenario: the prefill of short prompts on decode engines delays all requests that run there. */
    @ParameterizedTest
    @ValueSource(ints = {10, 20, 40})
    void shortPromptIsPrefilledElsewhereWhileDecodeEnginesAreBusy(int running) {
        addEngines(3, 2);
        for (Upstream upstream : fixture.directory.all()) {
            if (upstream.entry().stage() == EngineStage.DECODE) {
                for (int i = 0; i < running; i++) {
                    upstream.onSend(0, 0);
                    upstream.onFirstResponsePart(0, 0);
                }
            }
        }
        ServingRequest request = ServingFixture.request("q", STREAM, ServingFixture.prompt(5, 90, 290));
        Placement placement = fixture.place(request, 0).orElseThrow();
        assertTrue(placement.prefillEngine().isPresent());
        assertEquals(EngineStage.DECODE, placement.target().entry().stage());
    }

    @Test
    void excludedUpstreamsAreNotChosen() {
        addEngines(0, 2);
        ServingRequest request = ServingFixture.request("q", STREAM, ServingFixture.prompt(5, 90, 290));
        UpstreamId first = fixture.place(request, 0).orElseThrow().target().id();
        UpstreamId second =
                fixture.place(request, Set.of(first), 0).orElseThrow().target().id();
        assertNotEquals(first, second);
        assertFalse(fixture.place(request, Set.of(first, second), 0).isPresent());
    }

    /** Scenario: after a burst of short prompts, long uncached ones arrive while the prefill engines are idle. */
    @ParameterizedTest
    @ValueSource(ints = {8_000, 20_000, 40_000})
    void longUncachedPromptIsNotPrefilledWhereItDelaysDecoding(int sharedTokens) {
        addEngines(4, 3);
        for (int i = 0; i < 200; i++) {
            fixture.latency.onFirstResponsePart(ServingFixture.MODEL, EngineStage.DECODE, 12_000, 300, 45);
        }
        ServingRequest request = ServingFixture.request("q", STREAM, ServingFixture.prompt(5, sharedTokens, 3_000));
        assertTrue(fixture.place(request, 0).orElseThrow().prefillEngine().isPresent());
    }

    /** Guards against an engine that crashes because the requests of all nodes exceed its memory. */
    @Test
    void engineWithoutMemoryForTheRequestGetsNone() {
        addEngines(0, 2);
        ServingRequest request = ServingFixture.request("q", STREAM, ServingFixture.prompt(5, 90_000, 10_000));
        Upstream first = fixture.upstream("output-0");
        Upstream second = fixture.upstream("output-1");
        first.hold(300_001);
        fixture.directory.setRemoteWork(Map.of(second.id(), new OpenWork(0, 0, 300_000)));
        for (int i = 0; i < 20; i++) {
            assertEquals(second, fixture.place(request, 0).orElseThrow().target());
        }
        second.hold(request.heldTokens(false));
        assertTrue(fixture.place(request, 0).isEmpty());
        second.release(request.heldTokens(false));
        assertEquals(second, fixture.place(request, 0).orElseThrow().target());
    }

    /** Guards against a request that waits although no engine can ever take it. */
    @ParameterizedTest
    @CsvSource({"400_000, true", "400_001, false"})
    void requestFitsAnEngineIfItsTokensDo(String tokens, boolean expected) {
        int promptTokens = Integer.parseInt(tokens.replace("_", ""));
        ServingRequest request = ServingFixture.request("q", STREAM, ServingFixture.prompt(5, promptTokens - 1, 1));
        assertEquals(expected, request.fitsAnEngine(ServingFixture.service(ServingFixture.MODEL)));
        assertTrue(request.fitsAnEngine(ServingFixture.service(ServingFixture.PLAIN)));
        assertTrue(request.fitsAnEngine(Optional.empty()));
    }

    @Test
    void excludedPrefillEngineIsReplacedByAnother() {
        addEngines(3, 2);
        ServingRequest request = ServingFixture.request("q", STREAM, ServingFixture.prompt(5, 13_000, 3_000));
        UpstreamId first = fixture.place(request, 0)
                .orElseThrow()
                .prefillEngine()
                .orElseThrow()
                .id();
        Placement again = fixture.place(request, Set.of(first), 0).orElseThrow();
        assertNotEquals(first, again.prefillEngine().orElseThrow().id());
    }

    /** Scenario: a failure domain is reclaimed, and the parts cached by its engines would be prefilled again. */
    @Test
    void cachedPartIsFetchedFromALeavingEngine() {
        addEngines(3, 2);
        ServingRequest request = ServingFixture.request("q", STREAM, ServingFixture.prompt(5, 13_000, 3_000));
        Upstream preferred =
                fixture.place(request, 0).orElseThrow().prefillEngine().orElseThrow();
        preferred.onPrefilled(request.prompt().subList(0, 1), 8);
        preferred.markLeaving();
        Placement placement = fixture.place(request, 0).orElseThrow();
        assertNotEquals(preferred, placement.prefillEngine().orElse(placement.target()));
        assertEquals(preferred, placement.fetchFrom().orElseThrow());
        assertEquals(3_000, placement.uncachedTokens());
    }

    /**
     * Scenario: in a large site a node learns only seconds later that another one had a part prefilled at its preferred
     * engine.
     */
    @Test
    void unadvertisedPartIsFetchedFromItsBusyPreferredEngine() {
        addEngines(3, 2);
        ServingRequest request = ServingFixture.request("q", STREAM, ServingFixture.prompt(5, 13_000, 3_000));
        Upstream preferred =
                fixture.place(request, 0).orElseThrow().prefillEngine().orElseThrow();
        preferred.onSend(200_000, 0);
        Placement placement = fixture.place(request, 0).orElseThrow();
        assertNotEquals(preferred, placement.prefillEngine().orElse(placement.target()));
        assertEquals(preferred, placement.fetchFrom().orElseThrow());
        assertEquals(16_000, placement.uncachedTokens());
    }
}
