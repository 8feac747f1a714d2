package org.cactusshift.internal.transport.relay;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.limits.ResponseBufferLimit;
import org.cactusshift.internal.coordination.limits.UpstreamRequestLimits;
import org.cactusshift.internal.coordination.quarantine.CrashHistory;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.Placer;
import org.cactusshift.internal.coordination.serving.PromptPartUse;
import org.cactusshift.internal.coordination.serving.ResponseTimeRecorder;
import org.cactusshift.internal.coordination.serving.ServiceReachability;
import org.cactusshift.internal.coordination.serving.WindowedRetryBudget;

/**
 * The collaborators that all requests in progress share.
 *
 * @param eventLoop the event loop
 * @param clock the monotonic and the wall clock
 * @param codec the codec of the platform's protocol
 * @param pool provides connections to upstreams
 * @param placer chooses upstreams
 * @param responseTimes records the times to the first parts of responses
 * @param retryBudgets looks up the retry budget of a service
 * @param crashHistory decides which requests are refused because they crash upstreams
 * @param crashDetector distinguishes crashes of upstreams from lost connections
 * @param reachability which services this node has lost its links to
 * @param peers chooses the peers that serve requests in place of this node
 * @param upstreamLeavingListener receives the upstreams of which a passed-on response says that they leave
 * @param upstreamCheck finds out whether an upstream at which an attempt was lost is down
 * @param upstreamLimits the request limits that upstreams state
 * @param streamOrigins tells other nodes which software version began a stream, and asks them
 * @param streamVersions the software versions at which streams can have begun
 * @param upstreamEntries how recent the entries of the upstreams are
 * @param usageCounter counts started requests of client accounts
 * @param promptPartUseListener receives each use of a long prompt part at an engine, to be advertised to the peers
 * @param responseBuffers limits the memory of responses that are not complete
 * @param nodeCount supplies the number of live nodes of the site
 * @param domain the failure domain of this node
 * @param metrics counts outcomes
 * @param log the event log of the node
 * @param random the source of randomness
 */
public record RelayContext(
        EventLoop eventLoop,
        RelayClock clock,
        RelayCodec codec,
        HttpConnectionPool pool,
        Placer placer,
        ResponseTimeRecorder responseTimes,
        RetryBudgets retryBudgets,
        CrashHistory crashHistory,
        CrashDetector crashDetector,
        ServiceReachability reachability,
        RequestPassing peers,
        Consumer<UpstreamId> upstreamLeavingListener,
        UpstreamCheck upstreamCheck,
        UpstreamRequestLimits upstreamLimits,
        StreamOriginExchange streamOrigins,
        StreamVersionRepository streamVersions,
        EntryAge upstreamEntries,
        UsageCounter usageCounter,
        Consumer<PromptPartUse> promptPartUseListener,
        ResponseBufferLimit responseBuffers,
        IntSupplier nodeCount,
        FailureDomainId domain,
        RelayMetrics metrics,
        EventLog log,
        RandomGenerator random) {
    /** Looks up retry budgets by service. */
    public interface RetryBudgets {
        /**
         * Returns the retry budget of a service.
         *
         * @param service the service
         * @return the retry budget
         */
        WindowedRetryBudget of(ServiceId service);
    }

    /** How recent the entries of upstreams are that this node has read from the store. */
    public interface EntryAge {
        /**
         * Returns whether the entries were read recently.
         *
         * @return whether they are current
         */
        boolean isCurrent();

        /**
         * Returns a time from which on the entries were read.
         *
         * @return the monotonic time, in milliseconds, at which the last successful read was started
         */
        long readSinceMillis();
    }

    /** Counts started requests for the usage reports. */
    public interface UsageCounter {
        /**
         * Counts one started request in the current usage window.
         *
         * @param account the client account
         */
        void countStartedRequest(AccountId account);
    }
}
