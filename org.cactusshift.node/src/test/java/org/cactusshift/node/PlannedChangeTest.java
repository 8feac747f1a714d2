package org.cactusshift.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.standin.ReceivedRequest;
import org.cactusshift.standin.engine.EngineTiming;
import org.cactusshift.standin.engine.ExpectedAnswer;
import org.cactusshift.standin.engine.ReceivedEngineOrder;
import org.cactusshift.standin.engine.StandInEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes of the model version that miss an engine, reach it twice, overlap with another change or cut a
 * stream, also if the holder of the duty leaves while its order is outstanding.
 */
class PlannedChangeTest {
    private static final String VERSION = "2026-11";
    private static final int TOKENS = 200;
    private static final long ORDER_MILLIS = 1_000;
    private static final int MAXIMUM_POLLS = 900;
    private static final long POLL_MILLIS = 100;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private LocalSite site;

    @BeforeEach
    void startSite() throws Exception {
        site = LocalSite.start(3, EngineTiming.fast().withOrderAndRestartTimes(ORDER_MILLIS, 0));
    }

    @AfterEach
    void stopSite() {
        stopping.set(true);
        callers.shutdownNow();
        site.close();
    }

    @Test
    void loadsVersionIntoEachEngineWithoutCuttingStreams() throws Exception {
        List<Future<Integer>> streams = new ArrayList<>();
        for (Node node : site.nodes()) {
            streams.add(callers.submit(() -> stream(node)));
        }
        site.applyChange(PlannedChangeTest::withActiveVersion);
        awaitCompletedChanges();
        stopping.set(true);
        int completedStreams = 0;
        for (Future<Integer> stream : streams) {
            completedStreams += stream.get(30, TimeUnit.SECONDS);
        }

        assertTrue(completedStreams > 0);
        for (StandInEngine engine : site.platform().engines()) {
            assertEquals(
                    List.of("load_version"),
                    orderKinds(engine),
                    engine.settings().engineId());
            assertEquals(
                    List.of(),
                    requestsDisturbedByChange(engine),
                    engine.settings().engineId());
        }
        assertEquals(List.of(), overlappingChanges());
    }

    @Test
    void finishesTheOrderOfAHolderThatLeftAndIssuesNoOther() throws Exception {
        site.applyChange(PlannedChangeTest::withActiveVersion);
        LocalSite.await(() -> firstOrderedEngine().isPresent());
        StandInEngine engine = firstOrderedEngine().orElseThrow();
        Node holder = holderFor(engine);
        boolean outstanding = !hasLoadedVersion(engine);
        holder.stop();
        for (int i = 0;
                i < MAXIMUM_POLLS && !site.platform().engines().stream().allMatch(this::hasLoadedVersion);
                i++) {
            Thread.sleep(POLL_MILLIS);
        }

        assertTrue(outstanding, "the order completed before the holder was stopped, so that no take-over was tested");
        for (StandInEngine each : site.platform().engines()) {
            assertTrue(hasLoadedVersion(each), each.settings().engineId());
            assertEquals(
                    List.of("load_version"), orderKinds(each), each.settings().engineId());
        }
    }

    private Optional<StandInEngine> firstOrderedEngine() {
        return site.platform().engines().stream()
                .filter(engine -> !engine.receivedOrders().isEmpty())
                .findFirst();
    }

    private Node holderFor(StandInEngine engine) {
        String failureDomain = site.config().upstreams().stream()
                .filter(upstream ->
                        upstream.id().value().equals(engine.settings().engineId()))
                .map(upstream -> upstream.failureDomain().value())
                .findFirst()
                .orElseThrow();
        return site.nodes().stream()
                .filter(node -> OperatorPageReader.text(node.operatorAddress(), "/status")
                        .contains("engine-orders/" + failureDomain + "+"))
                .findFirst()
                .orElseThrow();
    }

    private boolean hasLoadedVersion(StandInEngine engine) {
        String orders = OperatorPageReader.text(engine.address(), "/orders").replaceAll("\\s", "");
        return orders.contains("\"outstanding\":null") && orders.contains("\"version\":\"" + VERSION + "\"");
    }

    private void awaitCompletedChanges() throws InterruptedException {
        for (int i = 0;
                i < MAXIMUM_POLLS
                        && completedChanges() < site.platform().engines().size();
                i++) {
            Thread.sleep(POLL_MILLIS);
        }
        assertEquals(site.platform().engines().size(), completedChanges());
    }

    private long completedChanges() {
        return site.nodes().stream().mapToLong(this::completedChangesOf).sum();
    }

    private long completedChangesOf(Node node) {
        return OperatorPageReader.metric(
                node, "cactusshift_planned_changes_total{kind=\"load_version\",result=\"done\"}");
    }

    private static SiteConfig withActiveVersion(SiteConfig site) {
        List<ServiceConfig> services = site.services().stream()
                .map(service -> service.kind() == ServiceConfig.Kind.MODEL
                        ? new ServiceConfig(
                                service.id(),
                                service.kind(),
                                VERSION,
                                service.openRoute(),
                                service.repeatable(),
                                service.repeatablePaths())
                        : service)
                .toList();
        return new SiteConfig(
                site.schemaVersion(),
                site.site(),
                site.shutdownDate(),
                site.failureDomains(),
                site.accounts(),
                services,
                site.upstreams(),
                site.limits(),
                site.timing());
    }

    private int stream(Node node) {
        OpenAIClient client = OpenAIOkHttpClient.builder()
                .baseUrl("http://" + node.callerAddress() + "/v1")
                .apiKey(site.bearerToken())
                .maxRetries(0)
                .build();
        int completedStreams = 0;
        while (!stopping.get()) {
            String prompt = "Stream " + completedStreams + " of " + node.callerAddress();
            StringBuilder text = new StringBuilder();
            try (StreamResponse<ChatCompletionChunk> stream = client.chat()
                    .completions()
                    .createStreaming(ChatCompletionCreateParams.builder()
                            .model("share-lm")
                            .maxTokens(TOKENS)
                            .addUserMessage(prompt)
                            .build())) {
                stream.stream()
                        .forEach(chunk -> chunk.choices()
                                .forEach(choice -> choice.delta().content().ifPresent(text::append)));
            }
            assertEquals(ExpectedAnswer.forUserMessage(prompt).text(TOKENS), text.toString());
            completedStreams++;
        }
        client.close();
        return completedStreams;
    }

    private static List<String> orderKinds(StandInEngine engine) {
        return engine.receivedOrders().stream()
                .filter(order -> order.decision() != ReceivedEngineOrder.Decision.REPEATED)
                .map(order -> order.isConflicting() ? "conflicting" : order.kind())
                .toList();
    }

    /** Returns the requests that were cut by an order or received while the engine was changing. */
    private static List<ReceivedRequest> requestsDisturbedByChange(StandInEngine engine) {
        return engine.log()
                .matching(request -> request.path().startsWith("/v1/")
                        && (request.outcome() == ReceivedRequest.Outcome.CUT_BY_ORDER
                                || engine.receivedOrders().stream()
                                        .anyMatch(order -> isReceivedDuring(request, order))));
    }

    private static boolean isReceivedDuring(ReceivedRequest request, ReceivedEngineOrder order) {
        long elapsedMillis = request.receivedAtMillis() - order.receivedAtMillis();
        return elapsedMillis >= 0 && elapsedMillis < ORDER_MILLIS;
    }

    /** Returns the engines that received an order while another engine was changing. */
    private List<String> overlappingChanges() {
        Map<Long, String> engineByOrderMillis = new TreeMap<>();
        List<String> overlaps = new ArrayList<>();
        for (StandInEngine engine : site.platform().engines()) {
            for (ReceivedEngineOrder order : engine.receivedOrders()) {
                Optional.ofNullable(engineByOrderMillis.put(
                                order.receivedAtMillis(), engine.settings().engineId()))
                        .ifPresent(overlaps::add);
            }
        }
        long previousMillis = Long.MIN_VALUE / 2;
        for (Map.Entry<Long, String> ordered : engineByOrderMillis.entrySet()) {
            if (ordered.getKey() - previousMillis < ORDER_MILLIS) {
                overlaps.add(ordered.getValue());
            }
            previousMillis = ordered.getKey();
        }
        return overlaps;
    }
}
