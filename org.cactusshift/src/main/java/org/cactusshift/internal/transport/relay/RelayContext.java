package org.cactusshift.internal.transport.relay;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.quarantine.Quarantine;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.LatencyEstimator;
import org.cactusshift.internal.coordination.serving.Placer;
import org.cactusshift.internal.coordination.serving.PromptPartUse;
import org.cactusshift.internal.coordination.serving.WindowedRetryBudget;

/**
 * What requests under way share.
 *
 * @param eventLoop the event loop
 * @param clock the clocks
 * @param codec the protocol
 * @param pool connections to upstreams
 * @param placer chooses upstreams
 * @param speed learns from answers
 * @param retryBudgets limits repeated sends; looked up by service
 * @param quarantine knows crash-inducing requests
 * @param witness tells crashes from lost connections
 * @param startedRequests counts requests that began to run
 * @param partUseListener learns which long prompt parts were used where
 * @param nodeCount the live nodes of the site
 * @param domain the failure domain of this node
 * @param metrics counts outcomes
 * @param log takes decisions
 * @param random the source of random choices
 */
public record RelayContext(
        EventLoop eventLoop,
        RelayClock clock,
        RelayCodec codec,
        UpstreamConnectionPool pool,
        Placer placer,
        LatencyEstimator speed,
        RetryBudgetByService retryBudgets,
        Quarantine quarantine,
        CrashDetector witness,
        StartedRequestCounter startedRequests,
        Consumer<PromptPartUse> partUseListener,
        IntSupplier nodeCount,
        FailureDomainId domain,
        RelayMetrics metrics,
        EventLog log,
        RandomGenerator random) {
    /** Finds the allowance of a service. */
    public interface RetryBudgetByService {
        /**
         * Returns the allowance.
         *
         * @param service the service
         * @return the allowance
         */
        WindowedRetryBudget of(ServiceId service);
    }

    /** Counts requests that an upstream began to run. */
    public interface StartedRequestCounter {
        /**
         * Counts a request.
         *
         * @param account the client account
         */
        void add(AccountId account);
    }
}
