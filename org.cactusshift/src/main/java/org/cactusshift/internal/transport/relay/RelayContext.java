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
 * What all requests in progress share.
 *
 * @param eventLoop the event loop
 * @param clock the monotonic and the wall clock
 * @param codec the codec of the site's protocol
 * @param pool provides connections to upstreams
 * @param placer chooses upstreams
 * @param latencyEstimator estimates the time to the first answer, from the answers seen
 * @param retryBudgets limits retries; looked up by service
 * @param quarantine tracks crash-inducing requests
 * @param crashDetector distinguishes crashes of upstreams from lost connections
 * @param startedRequests counts requests that an upstream has started to run
 * @param partUseListener receives uses of long prompt parts, to be sent to peers
 * @param nodeCount supplies the number of live nodes of the site
 * @param domain the failure domain of this node
 * @param metrics counts outcomes
 * @param log records decisions
 * @param random the source of randomness
 */
public record RelayContext(
        EventLoop eventLoop,
        RelayClock clock,
        RelayCodec codec,
        HttpConnectionPool pool,
        Placer placer,
        LatencyEstimator latencyEstimator,
        RetryBudgetByService retryBudgets,
        Quarantine quarantine,
        CrashDetector crashDetector,
        StartedRequestCounter startedRequests,
        Consumer<PromptPartUse> partUseListener,
        IntSupplier nodeCount,
        FailureDomainId domain,
        RelayMetrics metrics,
        EventLog log,
        RandomGenerator random) {
    /** Finds the retry budget of a service. */
    public interface RetryBudgetByService {
        /**
         * Returns the retry budget of a service.
         *
         * @param service the service
         * @return the retry budget
         */
        WindowedRetryBudget of(ServiceId service);
    }

    /** Counts requests that an upstream has started to run. */
    public interface StartedRequestCounter {
        /**
         * Counts a request.
         *
         * @param account the client account
         */
        void add(AccountId account);
    }
}
