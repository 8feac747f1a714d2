package org.cactusshift.internal.transport.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cactusshift.id.ServiceId;

/** Metrics of the gateway. */
public final class GatewayMetrics {
    private static final double MILLIS_PER_SECOND = 1000.0;
    private static final double[] FIRST_TOKEN_BUCKETS_SECONDS = {0.02, 0.05, 0.1, 0.2, 0.34, 0.5, 1, 2, 5, 10, 30};
    private static final double[] BETWEEN_TOKENS_BUCKETS_SECONDS = {0.005, 0.01, 0.02, 0.04, 0.076, 0.15, 0.3, 1, 5};

    private final Counter requests;
    private final Counter refusals;
    private final Counter attempts;
    private final Histogram firstTokenSeconds;
    private final Histogram betweenTokensSeconds;
    private final Gauge openRequests;

    private GatewayMetrics(PrometheusRegistry registry) {
        requests = Counter.builder()
                .name("cactusshift_requests_total")
                .help("Answered requests.")
                .labelNames("service", "outcome", "status")
                .register(registry);
        refusals = Counter.builder()
                .name("cactusshift_refusals_total")
                .help("Refused requests.")
                .labelNames("service", "reason")
                .register(registry);
        attempts = Counter.builder()
                .name("cactusshift_attempts_total")
                .help("Ended attempts on upstreams.")
                .labelNames("service", "outcome")
                .register(registry);
        firstTokenSeconds = Histogram.builder()
                .name("cactusshift_first_token_seconds")
                .help("Time from the request to its first token.")
                .labelNames("service")
                .classicOnly()
                .classicUpperBounds(FIRST_TOKEN_BUCKETS_SECONDS)
                .register(registry);
        betweenTokensSeconds = Histogram.builder()
                .name("cactusshift_between_tokens_seconds")
                .help("Time between two tokens of a request.")
                .labelNames("service")
                .classicOnly()
                .classicUpperBounds(BETWEEN_TOKENS_BUCKETS_SECONDS)
                .register(registry);
        openRequests = Gauge.builder()
                .name("cactusshift_open_requests")
                .help("Requests received and not yet answered.")
                .register(registry);
    }

    /**
     * Registers the metrics.
     *
     * @param registry the registry; must not contain these metrics yet
     * @return the metrics
     */
    public static GatewayMetrics create(PrometheusRegistry registry) {
        return new GatewayMetrics(registry);
    }

    void requestOpened() {
        openRequests.inc();
    }

    void requestClosed() {
        openRequests.dec();
    }

    void recordResponse(String service, String outcome, int status) {
        requests.labelValues(service, outcome, Integer.toString(status)).inc();
    }

    void recordRefusal(String service, String reason) {
        refusals.labelValues(service, reason).inc();
    }

    void recordAttemptEnd(ServiceId service, String outcome) {
        attempts.labelValues(service.value(), outcome).inc();
    }

    void recordTimeToFirstToken(ServiceId service, long waitMillis) {
        firstTokenSeconds.labelValues(service.value()).observe(waitMillis / MILLIS_PER_SECOND);
    }

    void recordTimeBetweenTokens(ServiceId service, long waitMillis) {
        betweenTokensSeconds.labelValues(service.value()).observe(waitMillis / MILLIS_PER_SECOND);
    }
}
