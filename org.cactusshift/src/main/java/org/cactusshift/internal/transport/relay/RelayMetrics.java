package org.cactusshift.internal.transport.relay;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Counters and histograms of the relay. */
public final class RelayMetrics {
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("cactusshift_relay_requests_total")
            .help("Requests of callers by route kind and outcome.")
            .labelNames("kind", "outcome")
            .register(registry);
    private final Counter attempts = Counter.builder()
            .name("cactusshift_relay_attempts_total")
            .help("Sends to upstreams by service and outcome.")
            .labelNames("service", "outcome")
            .register(registry);
    private final Counter deniedRetries = Counter.builder()
            .name("cactusshift_relay_retries_denied_total")
            .help("Retries that the retry budget did not allow, by service.")
            .labelNames("service")
            .register(registry);
    private final Counter responseMismatches = Counter.builder()
            .name("cactusshift_relay_response_mismatches_total")
            .help("Responses that answer no request of their connection, by what is wrong with them.")
            .labelNames("kind")
            .register(registry);
    private final Histogram firstResponsePart = Histogram.builder()
            .name("cactusshift_relay_first_answer_seconds")
            .help("Time from the whole request to the first part of the answer, by route kind.")
            .labelNames("kind")
            .classicUpperBounds(0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
            .classicOnly()
            .register(registry);
    private final Gauge configVersion = Gauge.builder()
            .name("cactusshift_relay_config_version")
            .help("The version of the configuration in force.")
            .register(registry);
    private final Gauge incompleteResponses = Gauge.builder()
            .name("cactusshift_relay_incomplete_response_bytes")
            .help("Bytes of responses that are kept until they are complete.")
            .register(registry);
    private final Gauge unreadResponses = Gauge.builder()
            .name("cactusshift_relay_unread_response_bytes")
            .help("Bytes that slow callers have not read yet.")
            .register(registry);
    private final Gauge incompleteUploads = Gauge.builder()
            .name("cactusshift_relay_incomplete_upload_bytes")
            .help("Bytes of requests that are not complete.")
            .register(registry);
    private final Gauge heldRequests = Gauge.builder()
            .name("cactusshift_relay_held_request_bytes")
            .help("Bytes of requests that are being served or wait behind others on their connection.")
            .register(registry);
    private final Gauge refusedForMemory = Gauge.builder()
            .name("cactusshift_relay_requests_over_memory")
            .help("Requests that were refused since the start because of the limit for the memory of requests.")
            .register(registry);
    private final Gauge endedForMemory = Gauge.builder()
            .name("cactusshift_relay_slow_callers_ended")
            .help("Connections of slow callers that were ended since the start because of the limit for their memory.")
            .labelNames("direction")
            .register(registry);
    private final Gauge storeEra = Gauge.builder()
            .name("cactusshift_relay_store_era")
            .help("The era of the store, which rises when the store is restored from a copy.")
            .register(registry);
    private final Gauge suspects = Gauge.builder()
            .name("cactusshift_relay_crash_suspects")
            .help("What may have crashed upstreams: requests and prompt parts that were there.")
            .register(registry);
    private final Gauge refusedSuspects = Gauge.builder()
            .name("cactusshift_relay_refused_crash_suspects")
            .help("Suspects that are refused because they crashed upstreams.")
            .register(registry);
    private final Counter quotaRefusals = Counter.builder()
            .name("cactusshift_relay_quota_refusals_total")
            .help("Requests that were refused because the quota of their account was used up, by account.")
            .labelNames("account")
            .register(registry);
    private final Counter quotaGranted = Counter.builder()
            .name("cactusshift_relay_quota_granted_total")
            .help("Credit that this node granted as the coordinator of an account, by account.")
            .labelNames("account")
            .register(registry);
    private final Gauge quotaAnswerAge = Gauge.builder()
            .name("cactusshift_relay_quota_unanswered_seconds")
            .help("The longest time for which the coordinator of an account in use has not answered.")
            .register(registry);

    private final Gauge unreachableServices = Gauge.builder()
            .name("cactusshift_relay_unreachable_services")
            .help("Services of which this node reaches no upstream, so that it passes their requests to peers.")
            .register(registry);
    private final Gauge livePeers = Gauge.builder()
            .name("cactusshift_relay_live_peers")
            .help("Other nodes of the site from which messages arrive.")
            .register(registry);
    private final Gauge limitedUpstreams = Gauge.builder()
            .name("cactusshift_relay_limited_upstreams")
            .help("Upstreams that state a limit on requests per second.")
            .register(registry);

    /**
     * Counts a request that has ended.
     *
     * @param kind the kind of its route, {@code "-"} when it was refused before it was placed
     * @param outcome its outcome
     */
    public void onRequestEnded(String kind, String outcome) {
        requests.labelValues(kind, outcome).inc();
    }

    /**
     * Counts an attempt that has ended.
     *
     * @param service the service
     * @param outcome its outcome
     */
    public void onAttemptEnded(String service, String outcome) {
        attempts.labelValues(service, outcome).inc();
    }

    /**
     * Counts a retry that the retry budget did not allow.
     *
     * @param service the service
     */
    public void onRetryDenied(String service) {
        deniedRetries.labelValues(service).inc();
    }

    /**
     * Counts a response that answers no request of its connection.
     *
     * @param kind what is wrong with it
     */
    public void onResponseMismatch(String kind) {
        responseMismatches.labelValues(kind).inc();
    }

    /**
     * Records the time from the receipt of a complete request to the first part of its response. Of a request that is
     * not a stream, this is the time to its end, whatever its outcome.
     *
     * @param kind the kind of the route
     * @param millis the time, in milliseconds
     */
    public void onFirstResponsePart(String kind, long millis) {
        firstResponsePart.labelValues(kind).observe(millis / 1_000.0);
    }

    /**
     * Records the version of the active configuration.
     *
     * @param version the version
     */
    public void onConfigActivated(long version) {
        configVersion.set(version);
    }

    /**
     * Records how much memory incomplete responses and callers take.
     *
     * @param incompleteResponseBytes the bytes of incomplete responses
     * @param callers what callers take
     */
    public void onBuffers(long incompleteResponseBytes, CallerMemory callers) {
        incompleteResponses.set(incompleteResponseBytes);
        unreadResponses.set(callers.responses().bytes());
        incompleteUploads.set(callers.uploads().bytes());
        heldRequests.set(callers.requests().bytes());
        refusedForMemory.set(callers.requests().refusedCount());
        endedForMemory.labelValues("response").set(callers.responses().endedCount());
        endedForMemory.labelValues("upload").set(callers.uploads().endedCount());
    }

    /**
     * Records the era of the store.
     *
     * @param era the newest era that an answer of the store stated
     */
    public void onStoreEra(long era) {
        storeEra.set(era);
    }

    /**
     * Records how many suspects there are because of crashes of upstreams.
     *
     * @param count the number of suspects
     * @param refusedCount the number of those that are refused
     */
    public void onCrashSuspects(long count, long refusedCount) {
        suspects.set(count);
        refusedSuspects.set(refusedCount);
    }

    /**
     * Records how many services this node does not reach.
     *
     * @param count the number of services
     */
    public void onUnreachableServices(int count) {
        unreachableServices.set(count);
    }

    /**
     * Counts a request that was refused because the quota of its account was used up.
     *
     * @param account the client account
     */
    public void onQuotaRefusal(String account) {
        quotaRefusals.labelValues(account).inc();
    }

    /**
     * Counts credit that this node granted.
     *
     * @param account the client account
     * @param credit the credit
     */
    public void onQuotaGranted(String account, long credit) {
        quotaGranted.labelValues(account).inc(credit);
    }

    /**
     * Records for how long a coordinator has not answered.
     *
     * @param millis the longest time since the first unanswered request, 0 when there is none
     */
    public void onQuotaAnswerAge(long millis) {
        quotaAnswerAge.set(millis / 1_000.0);
    }

    /**
     * Records how many upstreams state a limit on requests per second.
     *
     * @param count the number of upstreams
     */
    public void onLimitedUpstreams(int count) {
        limitedUpstreams.set(count);
    }

    /**
     * Records how many other nodes send messages to this one.
     *
     * @param count the number of nodes
     */
    public void onLivePeers(int count) {
        livePeers.set(count);
    }

    /** Returns the registry, for metrics that are computed when they are read. */
    PrometheusRegistry registry() {
        return registry;
    }

    /**
     * Returns all metrics.
     *
     * @return the metrics in the Prometheus text format
     */
    public byte[] toText() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new IllegalStateException("cannot write to a byte array", e);
        }
        return out.toByteArray();
    }
}
