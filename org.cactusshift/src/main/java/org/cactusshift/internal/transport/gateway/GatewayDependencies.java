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
 * What a {@link Gateway} works with. None may be null.
 *
 * @param config the configuration in force
 * @param keys verifies callers' keys
 * @param dispatch decides where requests run
 * @param claims claims calls that may run at most once
 * @param usage takes usage as it arises
 * @param upstreams connections to upstreams
 * @param tracer makes the spans
 * @param metrics counts requests
 * @param monotonicMillis a monotonic clock, in milliseconds; the same as that of the other components
 * @param wallClock the wall clock
 * @param ready whether the node takes requests, for the readiness answer
 */
public record GatewayDependencies(
        ConfigSource config,
        KeyVerifier keys,
        DispatchService dispatch,
        ClaimRegistry claims,
        UsageRecorder usage,
        HttpClientPool upstreams,
        Tracer tracer,
        GatewayMetrics metrics,
        LongSupplier monotonicMillis,
        Clock wallClock,
        BooleanSupplier ready) {}
