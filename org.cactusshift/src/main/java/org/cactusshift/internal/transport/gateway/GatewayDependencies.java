package org.cactusshift.internal.transport.gateway;

import io.opentelemetry.api.trace.Tracer;
import java.time.Clock;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.cactusshift.internal.coordination.claim.ClaimRegistry;
import org.cactusshift.internal.coordination.configsync.ConfigSource;
import org.cactusshift.internal.coordination.dispatch.DispatchService;
import org.cactusshift.internal.coordination.key.KeyVerifier;
import org.cactusshift.internal.coordination.usage.UsageRecorder;
import org.cactusshift.internal.transport.http.HttpClientPool;

/**
 * The collaborators of a {@link Gateway}. None may be null.
 *
 * @param config the active configuration
 * @param keyVerifier verifies callers' keys
 * @param dispatch selects the upstream of each request
 * @param claimRegistry claims non-repeatable calls that carry an idempotency key
 * @param usageRecorder records the usage of each request
 * @param connectionPool the connections to upstreams
 * @param tracer creates the spans
 * @param metrics counts requests
 * @param monotonicMillis a monotonic clock, in milliseconds; the same as that of the other dependencies
 * @param wallClock the wall clock
 * @param readiness tests whether the node accepts requests
 */
public record GatewayDependencies(
        ConfigSource config,
        KeyVerifier keyVerifier,
        DispatchService dispatch,
        ClaimRegistry claimRegistry,
        UsageRecorder usageRecorder,
        HttpClientPool connectionPool,
        Tracer tracer,
        GatewayMetrics metrics,
        LongSupplier monotonicMillis,
        Clock wallClock,
        BooleanSupplier readiness) {}
