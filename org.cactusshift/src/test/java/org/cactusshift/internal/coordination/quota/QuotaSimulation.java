package org.cactusshift.internal.coordination.quota;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;

/** Nodes, a network between them and the requests of one account, in virtual time, from a seed. */
final class QuotaSimulation {
    /** A fault in the product's logic or its use that the checks must find. */
    enum IntroducedFault {
        NONE,
        /** The coordinator grants the shares of nodes that it doesn't hear. */
        UNHEARD_NODES_COUNTED,
        /** Each node without a coordinator takes the whole quota. */
        OWN_SHARE_UNDIVIDED,
        /** A coordinator starts with a full bucket and takes all nodes for heard. */
        FULL_BUCKET_AT_START,
        /** Credit that was used is returned as well. */
        USED_CREDIT_RETURNED,
        /** The coordinator grants a quarter of the rate. */
        QUARTER_RATE
    }

    static final AccountId ACCOUNT = AccountId.fromString("large");
    private static final long GOSSIP_TICK_MILLIS = 250;
    private static final long WAIT_TICK_MILLIS = 10;
    private static final long HOLD_TICK_MILLIS = 25;

    /** How long a lost node stays in the views of the others: the lease of its registration. */
    private static final long LEASE_MILLIS = 6_000;

    private static final int MAXIMUM_VIEW_LAG_MILLIS = 1_000;

    final AccountQuota quota;
    final SplittableRandom random;
    final List<Node> nodes = new ArrayList<>();
    long nowMillis;
    double lossRate;
    private final IntroducedFault fault;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final TreeSet<InstanceId> registered = new TreeSet<>();
    private final Map<List<InstanceId>, InstanceId> coordinatorByView = new IdentityHashMap<>();
    private final List<long[]> arrivals = new ArrayList<>();
    private List<InstanceId> view = List.of();
    private long viewVersion;
    private long eventCount;
    long refused;
    long messages;

    private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** One node; a process that is started again has a new incarnation and none of its state. */
    final class Node implements AccountCredit.Listener<Long> {
        final InstanceId id;
        int incarnation;
        boolean alive;
        long frozenUntilMillis;
        int group;
        private List<Runnable> held = new ArrayList<>();
        private List<InstanceId> knownNodes = List.of();
        private AccountCredit<Long> credit;
        private QuotaCoordinator coordinator;
        private HeardNodes heard;
        private long viewVersion;
        private boolean ticking;
        private long sequence;

        Node(int number) {
            id = InstanceId.fromString("n" + number);
        }

        void start() {
            alive = true;
            incarnation++;
            held = new ArrayList<>();
            ticking = false;
            IncarnationId process = IncarnationId.fromString("i" + incarnation);
            AccountCredit.Owner owner = new AccountCredit.Owner(id, process, ACCOUNT);
            credit = AccountCredit.create(owner, this, random.split(), () -> ++sequence);
            coordinator = QuotaCoordinator.create(time());
            heard = HeardNodes.create(id);
            if (fault == IntroducedFault.FULL_BUCKET_AT_START) {
                nodes.forEach(node -> heard.onMessage(node.id, nowMillis));
                QuotaRequest filling = new QuotaRequest(id, process, ACCOUNT, 0, 0, (long) quota.burst(), false, 0);
                coordinator.onRequest(filling, quota, new QuotaSite(1, 1), time());
            }
            register(this);
            tickCoordinator();
        }

        private void tickCoordinator() {
            coordinator.tick(time());
            at(GOSSIP_TICK_MILLIS, this, this::tickCoordinator);
        }

        private QuotaTime time() {
            return new QuotaTime(nowMillis, 1_000_000 + nowMillis);
        }

        private QuotaSite site() {
            return heard.site(Math.max(1, knownNodes.size()), nowMillis);
        }

        private QuotaSite shareSite() {
            return fault == IntroducedFault.OWN_SHARE_UNDIVIDED ? new QuotaSite(1, 1) : site();
        }

        InstanceId coordinatorId() {
            return coordinatorByView.computeIfAbsent(knownNodes, known -> QuotaCoordinator.choose(ACCOUNT, knownNodes));
        }

        void setView(List<InstanceId> changed) {
            InstanceId former = knownNodes.isEmpty() ? null : coordinatorId();
            knownNodes = changed;
            coordinator.onNodesChanged(time());
            if (former != null && !former.equals(coordinatorId())) {
                coordinator.drop(ACCOUNT);
                credit.onCoordinatorChanged();
            }
        }

        void submit(long cost) {
            credit.submit(cost, cost, quota, shareSite(), time());
            exchange();
        }

        private void exchange() {
            InstanceId target = knownNodes.isEmpty() ? null : coordinatorId();
            QuotaRequest request = id.equals(target) ? credit.nextLocalRequest(time()) : credit.nextRequest(time());
            if (request != null && target != null) {
                Node to = find(target);
                if (to == this) {
                    answer(request, this);
                } else {
                    deliver(this, to, () -> to.answer(request, this));
                }
            }
            if (!ticking && !credit.isIdle()) {
                ticking = true;
                at(credit.hasWaiting() ? WAIT_TICK_MILLIS : HOLD_TICK_MILLIS, this, () -> {
                    ticking = false;
                    credit.tick(quota, shareSite(), time());
                    exchange();
                });
            }
        }

        private void answer(QuotaRequest request, Node from) {
            heard.onRequest(request, nowMillis);
            if (knownNodes.isEmpty() || !id.equals(coordinatorId())) {
                return;
            }
            QuotaSite site = fault == IntroducedFault.UNHEARD_NODES_COUNTED
                    ? new QuotaSite(knownNodes.size(), knownNodes.size())
                    : site();
            double rate = quota.ratePerSecond() * (fault == IntroducedFault.QUARTER_RATE ? 0.25 : 1);
            AccountQuota granted = new AccountQuota(rate, quota.burst(), quota.unit(), quota.plainTokens());
            long returned = fault == IntroducedFault.USED_CREDIT_RETURNED ? request.wanted() / 2 : request.returned();
            QuotaRequest received = new QuotaRequest(
                    request.node(),
                    request.incarnation(),
                    request.account(),
                    request.wanted(),
                    request.minimum(),
                    returned,
                    request.usesOwnShare(),
                    request.sequence());
            QuotaGrant grant = coordinator.onRequest(received, granted, site, time());
            if (grant != null && from == this) {
                credit.onGrant(grant, time());
            } else if (grant != null) {
                deliver(this, from, () -> from.onGrant(grant, this));
            }
        }

        private void onGrant(QuotaGrant grant, Node from) {
            if (from.id.equals(coordinatorId())) {
                credit.onGrant(grant, time());
                exchange();
            }
        }

        @Override
        public void onAdmitted(Long cost, AccountCredit.Charge charge) {
            arrivals.add(new long[] {nowMillis, cost});
        }

        @Override
        public void onRefused(Long cost, long retryAfterMillis) {
            refused++;
        }
    }

    private QuotaSimulation(AccountQuota quota, IntroducedFault fault, long seed) {
        this.quota = quota;
        this.fault = fault;
        this.random = new SplittableRandom(seed);
    }

    static QuotaSimulation start(int nodeCount, AccountQuota quota, IntroducedFault fault, long seed) {
        QuotaSimulation simulation = new QuotaSimulation(quota, fault, seed);
        for (int i = 0; i < nodeCount; i++) {
            Node node = simulation.new Node(i);
            simulation.nodes.add(node);
            simulation.registered.add(node.id);
        }
        simulation.nodes.forEach(Node::start);
        simulation.nodes.forEach(node -> node.setView(simulation.view));
        simulation.gossip();
        return simulation;
    }

    private Node find(InstanceId id) {
        return nodes.get(Integer.parseInt(id.value().substring(1)));
    }

    void at(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, eventCount++, action));
    }

    /** Runs an action of a node's process unless it has ended by then; later if it is frozen. */
    private void at(long delayMillis, Node node, Runnable action) {
        int incarnation = node.incarnation;
        at(delayMillis, () -> {
            if (node.alive && node.incarnation == incarnation) {
                if (nowMillis < node.frozenUntilMillis) {
                    at(node.frozenUntilMillis - nowMillis, node, action);
                } else {
                    action.run();
                }
            }
        });
    }

    private void deliver(Node from, Node to, Runnable action) {
        messages++;
        if (from.group == to.group && random.nextDouble() >= lossRate) {
            at(1 + random.nextInt(2), to, action);
            if (random.nextInt(50) == 0) {
                at(1 + random.nextInt(100), to, action);
            }
        }
    }

    /** The store tells the nodes of changes after a lag of their own; a cut between peers doesn't change that. */
    private void publish() {
        List<InstanceId> changed = List.copyOf(registered);
        view = changed;
        long version = ++viewVersion;
        nodes.forEach(node -> at(random.nextInt(MAXIMUM_VIEW_LAG_MILLIS), node, () -> {
            // What was read from the store is never replaced by an older state.
            if (version > node.viewVersion) {
                node.viewVersion = version;
                node.setView(changed);
            }
        }));
    }

    private void register(Node node) {
        if (!registered.add(node.id) || view.isEmpty()) {
            view = List.copyOf(registered);
        } else {
            publish();
        }
        node.viewVersion = viewVersion;
        node.setView(view);
    }

    void kill(Node node) {
        node.alive = false;
        int incarnation = node.incarnation;
        at(LEASE_MILLIS, () -> {
            if (node.incarnation == incarnation && registered.remove(node.id)) {
                publish();
            }
        });
    }

    void addNode() {
        Node node = new Node(nodes.size());
        nodes.add(node);
        node.start();
    }

    Node coordinator() {
        return find(QuotaCoordinator.choose(ACCOUNT, view));
    }

    /** Only gossip to the nodes that may coordinate the account has an effect, so only that is played. */
    private void gossip() {
        long roundMillis = Math.max(GOSSIP_TICK_MILLIS, nodes.size() * 1_000L / 32);
        TreeSet<InstanceId> left = new TreeSet<>(view);
        for (int i = 0; i < 3 && !left.isEmpty(); i++) {
            Node target = find(QuotaCoordinator.choose(ACCOUNT, left));
            left.remove(target.id);
            for (Node node : nodes) {
                if (node != target && node.alive && nowMillis >= node.frozenUntilMillis) {
                    at(random.nextInt((int) roundMillis), node, () -> {
                        messages--;
                        deliver(node, target, () -> target.heard.onMessage(node.id, nowMillis));
                    });
                }
            }
        }
        at(roundMillis, this::gossip);
    }

    /** Has requests arrive at nodes with an index below a bound, on average at a multiple of the rate. */
    void demand(double timesRate, int nodeBound) {
        boolean isLong = random.nextInt(10) < 3;
        long cost = isLong ? (random.nextInt(100) == 0 ? 93_100 : 17_220) : 383;
        double perMilli = quota.ratePerSecond() * timesRate / 5_661 / 1_000;
        Node node = nodes.get(random.nextInt(Math.min(nodeBound, nodes.size())));
        at(0, node, () -> node.submit(cost));
        at(Math.round(-Math.log(1 - random.nextDouble()) / perMilli), () -> demand(timesRate, nodeBound));
    }

    void run(long untilMillis) {
        while (!events.isEmpty() && events.peek().atMillis <= untilMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis;
            event.action.run();
        }
        nowMillis = untilMillis;
    }

    long admittedSince(long fromMillis) {
        return arrivals.stream()
                .filter(arrival -> arrival[0] >= fromMillis)
                .mapToLong(arrival -> arrival[1])
                .sum();
    }

    /** Returns the largest sum of a window, as a part of what the rule allows. */
    double largestWindow() {
        double allowed = (quota.ratePerSecond() * QuotaSite.WINDOW_MILLIS / 1_000 + quota.burst()) * 1.1 + 190_000;
        long sum = 0;
        long largest = 0;
        int first = 0;
        for (long[] arrival : arrivals) {
            sum += arrival[1];
            while (arrivals.get(first)[0] <= arrival[0] - QuotaSite.WINDOW_MILLIS) {
                sum -= arrivals.get(first++)[1];
            }
            largest = Math.max(largest, sum);
        }
        return largest / allowed;
    }
}
