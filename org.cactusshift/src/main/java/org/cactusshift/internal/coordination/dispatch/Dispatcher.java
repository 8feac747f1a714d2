package org.cactusshift.internal.coordination.dispatch;

import java.util.List;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.quarantine.SuspectReport;
import org.cactusshift.internal.coordination.routing.PrefixIndex;

/**
 * Decides about the requests of one service at one node: order, upstream, retry, resume and refusal.
 *
 * <p>An implementation is not thread-safe; its owner calls it under the lock of the service's shard. It reads no
 * clock: every method takes the present time, in milliseconds of a monotonic clock. Decisions of a call may concern
 * other requests than the one in its arguments.
 */
public interface Dispatcher {
    /**
     * Installs the accounts and upstreams of the service from a new configuration.
     *
     * @param accounts the client accounts
     * @param upstreams the upstreams of the service
     * @param nowMillis the present time
     * @return what is to be done now
     */
    List<DispatchDecision> onConfig(List<AccountConfig> accounts, List<UpstreamConfig> upstreams, long nowMillis);

    /**
     * Takes a new request.
     *
     * @param request the request
     * @param nowMillis the present time
     * @return what is to be done now
     */
    List<DispatchDecision> submit(DispatchRequest request, long nowMillis);

    /**
     * Notes output tokens that were delivered to the caller.
     *
     * @param attempt the attempt
     * @param outputTokens tokens delivered since the last call
     * @param nowMillis the present time
     */
    void onProgress(AttemptId attempt, int outputTokens, long nowMillis);

    /**
     * Takes the end of an attempt; decides whether the request is sent again.
     *
     * @param attempt the attempt
     * @param end how it ended
     * @param nowMillis the present time
     * @return what is to be done now
     */
    List<DispatchDecision> onAttemptEnd(AttemptId attempt, AttemptEnd end, long nowMillis);

    /**
     * Forgets a request whose caller went away before dispatch.
     *
     * @param request the request
     * @param nowMillis the present time
     * @return what is to be done now
     */
    List<DispatchDecision> cancel(RequestId request, long nowMillis);

    /**
     * Takes a load report.
     *
     * @param upstream the upstream
     * @param load the report
     * @param nowMillis the present time
     * @return what is to be done now
     */
    List<DispatchDecision> onLoad(UpstreamId upstream, EngineLoad load, long nowMillis);

    /**
     * Marks an upstream as leaving, or as back.
     *
     * @param upstream the upstream
     * @param leaving whether it takes no new work
     * @param nowMillis the present time
     * @return what is to be done now
     */
    List<DispatchDecision> onExclusionChanged(UpstreamId upstream, boolean leaving, long nowMillis);

    /**
     * Takes the service that an account received at other nodes since the last call.
     *
     * @param account the account
     * @param prefillTokens prompt tokens
     * @param decodeTokens output tokens
     * @param requestsInFlight requests now in flight at other nodes
     * @param nowMillis the present time
     */
    void onRemoteTotals(AccountId account, long prefillTokens, long decodeTokens, int requestsInFlight, long nowMillis);

    /**
     * Takes a crash-inducing fingerprint seen at another node.
     *
     * @param fingerprint the fingerprint
     * @param crashes crashes seen by all nodes together
     * @param nowMillis the present time
     */
    void onRemoteSuspect(long fingerprint, int crashes, long nowMillis);

    /**
     * Lets time pass: deadlines, probes of suspected upstreams, expiry of quarantine.
     *
     * @param nowMillis the present time
     * @return what is to be done now
     */
    List<DispatchDecision> onTick(long nowMillis);

    /**
     * Takes the place of this node among the live nodes in the order of their ids. A dispatcher may prefer upstreams
     * near it, so that each upstream hears mostly from few nodes.
     *
     * @param index the place, from 0
     * @param nodes the number of live nodes, this one included
     */
    default void onLiveNodes(int index, int nodes) {}

    /**
     * Takes cache events of an engine. A dispatcher that doesn't route by prefix ignores them.
     *
     * @param upstream the engine
     * @param events the events, late and with gaps
     */
    default void onCacheEvents(UpstreamId upstream, List<PrefixIndex.Event> events) {}

    /**
     * Returns what each account received of this service here, for other nodes.
     *
     * @return the totals since the dispatcher was created; empty for a dispatcher that keeps none
     */
    default List<AccountServiceTotals> accountTotals() {
        return List.of();
    }

    /**
     * Returns the fingerprints that crashed upstreams here, for other nodes.
     *
     * @param nowMillis the present time
     * @return the suspects; empty for a dispatcher that keeps none
     */
    default List<SuspectReport> suspects(long nowMillis) {
        return List.of();
    }

    /**
     * Returns the last decisions with what was weighed.
     *
     * @return the explanations, oldest first; empty for a dispatcher that keeps none
     */
    default List<Explanation> explanations() {
        return List.of();
    }
}
