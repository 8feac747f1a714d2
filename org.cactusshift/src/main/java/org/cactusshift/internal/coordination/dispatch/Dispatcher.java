package org.cactusshift.internal.coordination.dispatch;

import java.util.List;
import java.util.Optional;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.quarantine.CrashSuspectReport;
import org.cactusshift.internal.coordination.routing.PrefixIndex;

/**
 * Makes the decisions about the requests of one service at one node: the sequence of dispatch, the upstream, retries,
 * resumption and refusal.
 *
 * <p>An implementation is not thread-safe; it is called under the lock of the service's {@link
 * SynchronizedDispatcher}. It reads no clock: methods that depend on time take the current time, in milliseconds of a
 * monotonic clock. The decisions that a call returns may be about other requests than the one in its arguments.
 */
public interface Dispatcher {
    /**
     * Installs the accounts and upstreams of the service from a new configuration.
     *
     * @param accounts the client accounts
     * @param upstreams the upstreams of the service
     * @param nowMillis the current time
     * @return the decisions to carry out now
     */
    List<DispatchDecision> onConfig(List<AccountConfig> accounts, List<UpstreamConfig> upstreams, long nowMillis);

    /**
     * Accepts a new request for dispatch, or refuses it.
     *
     * @param request the request
     * @param nowMillis the current time
     * @return the decisions to carry out now
     */
    List<DispatchDecision> submit(DispatchRequest request, long nowMillis);

    /**
     * Records output tokens that have been delivered to the caller.
     *
     * @param attempt the attempt
     * @param outputTokens tokens delivered since the last call
     * @param nowMillis the current time
     */
    void onProgress(AttemptId attempt, int outputTokens, long nowMillis);

    /**
     * Records the end of an attempt and decides whether a further attempt follows.
     *
     * @param attempt the attempt
     * @param end how it ended
     * @param nowMillis the current time
     * @return the decisions to carry out now
     */
    List<DispatchDecision> onAttemptEnd(AttemptId attempt, AttemptEnd end, long nowMillis);

    /**
     * Replaces an open attempt whose upstream is silent, if the request may run again and can be sent to another
     * upstream now. The attempt then ends as {@link AttemptEnd.Outcome#SILENT}; otherwise it stays open. May be called
     * again while the silence lasts.
     *
     * @param attempt the attempt
     * @param end the end of the attempt if it is replaced
     * @param nowMillis the current time
     * @return the decisions to carry out now, among them the new attempt; empty when the attempt stays open
     */
    default List<DispatchDecision> replaceSilent(AttemptId attempt, AttemptEnd end, long nowMillis) {
        return List.of();
    }

    /**
     * Removes a request whose caller cancelled it before dispatch.
     *
     * @param request the request
     * @param nowMillis the current time
     * @return the decisions to carry out now
     */
    List<DispatchDecision> cancel(RequestId request, long nowMillis);

    /**
     * Records a load report of an upstream.
     *
     * @param upstream the upstream
     * @param load the report
     * @param nowMillis the current time
     * @return the decisions to carry out now
     */
    List<DispatchDecision> onLoad(UpstreamId upstream, EngineLoad load, long nowMillis);

    /**
     * Marks an upstream as excluded from new requests, or as available again.
     *
     * @param upstream the upstream
     * @param excluded whether the upstream receives no new requests
     * @param nowMillis the current time
     * @return the decisions to carry out now
     */
    List<DispatchDecision> onExclusionChanged(UpstreamId upstream, boolean excluded, long nowMillis);

    /**
     * Records the tokens that other nodes served to an account since the last call, and how many requests of the
     * account are open at them now.
     *
     * @param account the account
     * @param prefillTokens prompt tokens
     * @param decodeTokens output tokens
     * @param openRequests open requests at other nodes, queued or in flight
     * @param nowMillis the current time
     */
    void onRemoteServedTokens(
            AccountId account, long prefillTokens, long decodeTokens, int openRequests, long nowMillis);

    /**
     * Records the crashes that other nodes counted for a fingerprint.
     *
     * @param fingerprint the fingerprint of the requests, see {@link DispatchRequest}
     * @param crashes the crashes counted by all other nodes together
     * @param nowMillis the current time
     */
    void onRemoteCrashSuspect(long fingerprint, int crashes, long nowMillis);

    /**
     * Handles a timer tick: expired deadlines, probes of failed upstreams, expiry of quarantine entries.
     *
     * @param nowMillis the current time
     * @return the decisions to carry out now
     */
    List<DispatchDecision> onTick(long nowMillis);

    /**
     * Sets the index of this node among the live nodes, ordered by their ids. A dispatcher may prefer upstreams at a
     * similar position, so that each upstream receives most of its requests from few nodes.
     *
     * @param index the index, from 0
     * @param nodes the number of live nodes, this one included
     */
    default void onLiveNodes(int index, int nodes) {}

    /**
     * Records KV-cache events of an engine. A dispatcher that doesn't route by prefix ignores them.
     *
     * @param upstream the engine
     * @param events the events; they may arrive late and with gaps
     */
    default void onCacheEvents(UpstreamId upstream, List<PrefixIndex.Event> events) {}

    /**
     * Returns the tokens that this node served to each account since the dispatcher was created, and how many requests
     * of the account are open at this node now; both are sent to other nodes.
     *
     * @return the totals by account; empty for a dispatcher that records none
     */
    default List<AccountServiceTotals> accountTotals() {
        return List.of();
    }

    /**
     * Returns the upstream crashes that this node observed itself, by the fingerprint of the requests that were open on
     * the upstream; they are sent to other nodes.
     *
     * @param nowMillis the current time
     * @return the crash suspects; empty for a dispatcher that records none
     */
    default List<CrashSuspectReport> crashSuspects(long nowMillis) {
        return List.of();
    }

    /**
     * Returns the quarantine of prompt parts, whose reports nodes exchange.
     *
     * @return the quarantine; empty for a dispatcher that refuses no parts
     */
    default Optional<PromptPartQuarantine> promptPartQuarantine() {
        return Optional.empty();
    }

    /**
     * Returns the most recent decisions with the candidates that were compared.
     *
     * @return the explanations, oldest first; empty for a dispatcher that records none
     */
    default List<Explanation> explanations() {
        return List.of();
    }
}
