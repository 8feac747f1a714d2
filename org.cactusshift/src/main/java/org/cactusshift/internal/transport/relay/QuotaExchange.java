package org.cactusshift.internal.transport.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.quota.AccountCredit;
import org.cactusshift.internal.coordination.quota.AccountQuota;
import org.cactusshift.internal.coordination.quota.HeardNodes;
import org.cactusshift.internal.coordination.quota.QuotaCoordinator;
import org.cactusshift.internal.coordination.quota.QuotaGrant;
import org.cactusshift.internal.coordination.quota.QuotaRequest;
import org.cactusshift.internal.coordination.quota.QuotaSite;
import org.cactusshift.internal.coordination.quota.QuotaTime;
import org.cactusshift.internal.coordination.serving.ServingConfig;

/**
 * Checks requests against the quotas of their client accounts, asks the coordinators of the accounts for credit, and
 * answers for the accounts that this node coordinates. To be used on the event loop only. Without a limited account
 * nothing is sent and no timer runs.
 */
final class QuotaExchange {
    /** The period of the checks while requests wait; a tenth of the time that they wait at most. */
    private static final long WAITING_TICK_MILLIS = 10;

    /** The period of the checks while only credit is held. */
    private static final long HOLDING_TICK_MILLIS = 25;

    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final Dependencies dependencies;
    private final QuotaCoordinator coordinator;
    private final HeardNodes heardNodes;
    private final Map<AccountId, AccountCredit<Receiver>> creditByAccount = new HashMap<>();
    private final Map<AccountId, InstanceId> coordinatorByAccount = new HashMap<>();
    private final Map<AccountId, Long> refusalLoggedAtMillis = new HashMap<>();
    private Map<InstanceId, InetSocketAddress> addressByNode = Map.of();
    private boolean ticking;

    /** The number of the last request, of all accounts; it outlives the credit of an account that is not limited. */
    private long lastSequence;

    /**
     * The collaborators of the exchange.
     *
     * @param self this node
     * @param channel sends and receives the datagrams
     * @param config supplies the active configuration, empty while none has been read
     * @param nodeCount supplies the number of nodes of the site
     * @param metrics counts credit and refusals
     * @param runtime the event loop, the clock and the log
     * @param random the source of randomness
     */
    record Dependencies(
            DutyHolder self,
            PeerDatagramChannel channel,
            Supplier<Optional<ServingConfig>> config,
            IntSupplier nodeCount,
            RelayMetrics metrics,
            NodeRuntime runtime,
            RandomGenerator random) {
        InstanceId node() {
            return self.instance();
        }

        RelayClock clock() {
            return runtime.clock();
        }

        Map<AccountId, AccountQuota> quotas() {
            return config.get().map(ServingConfig::quotas).orElse(Map.of());
        }
    }

    /** Receives the decision on one request. */
    interface Receiver {
        /** Is called when the request may be sent; the credit is to be given back if it reaches no upstream. */
        void onAdmitted(QuotaCharge charge);

        /** Is called when the request is over the quota. */
        void onRefused(long retryAfterMillis);
    }

    private QuotaExchange(Dependencies dependencies) {
        this.dependencies = dependencies;
        this.coordinator = QuotaCoordinator.create(now());
        this.heardNodes = HeardNodes.create(dependencies.node());
    }

    /** Returns an exchange that knows no other nodes and receives the messages about quotas from the channel. */
    static QuotaExchange create(Dependencies dependencies) {
        QuotaExchange exchange = new QuotaExchange(dependencies);
        dependencies.channel().setQuotaReceivers(exchange::onRequest, exchange::onGrant, exchange::onHeard);
        return exchange;
    }

    private QuotaTime now() {
        return new QuotaTime(
                dependencies.clock().monotonicMillis(), dependencies.clock().epochMillis());
    }

    private QuotaSite site(QuotaTime now) {
        return heardNodes.site(dependencies.nodeCount().getAsInt(), now.monotonicMillis());
    }

    /**
     * Decides on a request of a caller, at once or when the coordinator has answered.
     *
     * @param account its client account
     * @param quota the quota of the account
     * @param statedTokens the tokens that the request states, empty when it states none
     * @param receiver receives the decision
     */
    void check(AccountId account, AccountQuota quota, OptionalLong statedTokens, Receiver receiver) {
        QuotaTime now = now();
        AccountCredit<Receiver> credit = creditByAccount.computeIfAbsent(account, this::newCredit);
        credit.submit(receiver, quota.cost(statedTokens), quota, site(now), now);
        sendRequest(account, quota, credit, now);
        scheduleTick();
    }

    private AccountCredit<Receiver> newCredit(AccountId account) {
        AccountCredit.Owner owner =
                new AccountCredit.Owner(dependencies.node(), dependencies.self().incarnation(), account);
        return AccountCredit.create(
                owner,
                new AccountCredit.Listener<>() {
                    @Override
                    public void onAdmitted(Receiver receiver, AccountCredit.Charge charge) {
                        receiver.onAdmitted(() -> giveBack(account, charge));
                    }

                    @Override
                    public void onRefused(Receiver receiver, long retryAfterMillis) {
                        recordRefusal(account, retryAfterMillis);
                        receiver.onRefused(retryAfterMillis);
                    }
                },
                dependencies.random(),
                () -> ++lastSequence);
    }

    private void giveBack(AccountId account, AccountCredit.Charge charge) {
        AccountCredit<Receiver> credit = creditByAccount.get(account);
        if (credit != null) {
            credit.giveBack(charge);
            scheduleTick();
        }
    }

    private void recordRefusal(AccountId account, long retryAfterMillis) {
        dependencies.metrics().onQuotaRefusal(account.value());
        long now = dependencies.clock().monotonicMillis();
        Long loggedAt = refusalLoggedAtMillis.get(account);
        if (loggedAt == null || now - loggedAt >= LOG_INTERVAL_MILLIS) {
            refusalLoggedAtMillis.put(account, now);
            dependencies
                    .runtime()
                    .log()
                    .event("quota.refused")
                    .with("account", account.value())
                    .with("coordinator", coordinatorText(account))
                    .with("retryAfterMillis", retryAfterMillis)
                    .write();
        }
    }

    private String coordinatorText(AccountId account) {
        InstanceId node = coordinatorOf(account);
        return node == null ? "-" : node.value();
    }

    /** Returns the coordinator of an account; null while no node is known. */
    private InstanceId coordinatorOf(AccountId account) {
        InstanceId known = coordinatorByAccount.get(account);
        if (known == null) {
            known = QuotaCoordinator.choose(account, addressByNode.keySet());
            if (known != null) {
                coordinatorByAccount.put(account, known);
            }
        }
        return known;
    }

    private void sendRequest(AccountId account, AccountQuota quota, AccountCredit<Receiver> credit, QuotaTime now) {
        InstanceId target = coordinatorOf(account);
        boolean isSelf = dependencies.node().equals(target);
        QuotaRequest request = isSelf ? credit.nextLocalRequest(now) : credit.nextRequest(now);
        if (request == null || target == null) {
            return;
        }
        if (isSelf) {
            QuotaGrant grant = answer(request, quota, now);
            if (grant != null) {
                credit.onGrant(grant, now);
            }
        } else {
            dependencies.channel().sendQuota(addressByNode.get(target), QuotaMessage.encode(request));
        }
    }

    /** Answers a request; returns null when it is outdated. */
    private QuotaGrant answer(QuotaRequest request, AccountQuota quota, QuotaTime now) {
        QuotaGrant grant = coordinator.onRequest(request, quota, site(now), now);
        if (grant != null) {
            dependencies.metrics().onQuotaGranted(request.account().value(), grant.granted());
        }
        return grant;
    }

    /**
     * Answers a peer. A request for an account that this node does not coordinate, by the nodes that it knows, gets no
     * answer, so that no two nodes grant the same quota.
     */
    private void onRequest(QuotaRequest request, InetSocketAddress sender) {
        QuotaTime now = now();
        heardNodes.onRequest(request, now.monotonicMillis());
        AccountQuota quota = dependencies.quotas().get(request.account());
        if (quota == null || !dependencies.node().equals(coordinatorOf(request.account()))) {
            return;
        }
        QuotaGrant grant = answer(request, quota, now);
        if (grant != null) {
            dependencies.channel().sendQuota(sender, QuotaMessage.encode(grant));
        }
    }

    private void onGrant(QuotaGrant grant, InetSocketAddress sender) {
        AccountCredit<Receiver> credit = creditByAccount.get(grant.account());
        if (credit != null && sender.equals(addressByNode.get(coordinatorOf(grant.account())))) {
            credit.onGrant(grant, now());
        }
    }

    /** Records that a gossip message of a node has arrived. */
    private void onHeard(InstanceId node) {
        heardNodes.onMessage(node, dependencies.clock().monotonicMillis());
    }

    /**
     * Sets the nodes among which the coordinators are chosen, this one included, and drops what has expired. To be
     * called on each tick of the node.
     *
     * @param addresses the peer addresses by node
     */
    void tick(Map<InstanceId, InetSocketAddress> addresses) {
        QuotaTime now = now();
        coordinator.tick(now);
        if (!addresses.equals(addressByNode)) {
            boolean nodesChanged = !addresses.keySet().equals(addressByNode.keySet());
            addressByNode = Map.copyOf(addresses);
            if (nodesChanged) {
                onNodesChanged(now);
            }
        }
        dependencies.metrics().onQuotaAnswerAge(unansweredMillis(now));
    }

    private void onNodesChanged(QuotaTime now) {
        Map<AccountId, InstanceId> former = Map.copyOf(coordinatorByAccount);
        coordinatorByAccount.clear();
        coordinator.onNodesChanged(now);
        former.forEach((account, node) -> {
            if (!node.equals(coordinatorOf(account))) {
                coordinator.drop(account);
                Optional.ofNullable(creditByAccount.get(account)).ifPresent(AccountCredit::onCoordinatorChanged);
            }
        });
    }

    private long unansweredMillis(QuotaTime now) {
        long longest = 0;
        for (AccountCredit<Receiver> credit : creditByAccount.values()) {
            longest = Math.max(longest, credit.unansweredMillis(now));
        }
        return longest;
    }

    private void scheduleTick() {
        if (ticking) {
            return;
        }
        boolean isWaiting = false;
        boolean isIdle = true;
        for (AccountCredit<Receiver> credit : creditByAccount.values()) {
            isWaiting |= credit.hasWaiting();
            isIdle &= credit.isIdle();
        }
        if (!isIdle) {
            ticking = true;
            long delay = isWaiting ? WAITING_TICK_MILLIS : HOLDING_TICK_MILLIS;
            dependencies.runtime().eventLoop().schedule(this::tickCredits, delay, TimeUnit.MILLISECONDS);
        }
    }

    private void tickCredits() {
        try {
            tickActiveCredits();
        } finally {
            // Requests that wait have no other timer.
            ticking = false;
            scheduleTick();
        }
    }

    private void tickActiveCredits() {
        QuotaTime now = now();
        QuotaSite site = site(now);
        Map<AccountId, AccountQuota> quotas = dependencies.quotas();
        // Collected first: a decision may lead to the next request of the same caller, and that to a new credit.
        List<AccountId> active = new ArrayList<>();
        creditByAccount.forEach((account, credit) -> {
            if (!credit.isIdle()) {
                active.add(account);
            }
        });
        for (AccountId account : active) {
            AccountCredit<Receiver> credit = creditByAccount.get(account);
            AccountQuota quota = quotas.get(account);
            if (quota == null) {
                credit.release();
                creditByAccount.remove(account);
                refusalLoggedAtMillis.remove(account);
                continue;
            }
            credit.tick(quota, site, now);
            sendRequest(account, quota, credit, now);
        }
    }
}
