package org.cactusshift.internal.coordination.configsync;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.DaemonThreads;
import org.cactusshift.internal.coordination.membership.Member;
import org.cactusshift.internal.coordination.membership.RendezvousRanking;

/**
 * Installs the accepted configuration on this node and serves it to peers.
 *
 * <p>Store calls, peer calls and decisions each run on their own thread, so that a slow key-value store does not delay
 * updates from peers. Nothing is stored on disk: a node that starts while the store is unavailable installs the highest
 * version that its peers return.
 */
public final class ConfigDistributor implements ConfigSource, AutoCloseable {
    private static final System.Logger LOG = System.getLogger(ConfigDistributor.class.getName());
    private static final String RELAY_RANKING_SEED = "configuration relay";
    /** The time of a step that has not run yet; halved so that the time since then does not overflow. */
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final InstanceId self;
    private final FailureDomainId failureDomain;
    private final Supplier<List<Member>> otherMembers;
    private final LongSupplier contactAgeMillis;
    private final LongSupplier monotonicMillis;
    private final ConfigInstaller installer;
    private final StoreFollower storeFollower;
    private final PeerFollower peerFollower;
    private final ScheduledExecutorService decisionExecutor =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("config"));
    private final ExecutorService storeExecutor =
            Executors.newSingleThreadExecutor(DaemonThreads.named("config-store"));
    private final ExecutorService peerExecutor = Executors.newSingleThreadExecutor(DaemonThreads.named("config-peers"));
    private final AtomicBoolean headReadPending = new AtomicBoolean();
    private final AtomicBoolean fetchPending = new AtomicBoolean();
    private volatile DistributionTiming timing = DistributionTiming.beforeFirstConfig();
    private long lastReadMillis = NEVER_MILLIS;
    private long lastWatchMillis = NEVER_MILLIS;
    private long lastFetchMillis = NEVER_MILLIS;
    private long lastFollowMillis = NEVER_MILLIS;

    private ConfigDistributor(ConfigDistributorBuilder builder) {
        this.self = builder.self;
        this.failureDomain = builder.failureDomain;
        this.otherMembers = builder.members;
        this.contactAgeMillis = builder.contactAgeMillis;
        this.monotonicMillis = builder.monotonicMillis;
        this.installer = new ConfigInstaller(builder.listener);
        this.storeFollower =
                new StoreFollower(builder.repository, installer, monotonicMillis, task -> submit(storeExecutor, task));
        this.peerFollower = new PeerFollower(builder.peers, installer);
    }

    static ConfigDistributor of(ConfigDistributorBuilder builder) {
        return new ConfigDistributor(builder);
    }

    /**
     * Returns a builder.
     *
     * @return the builder
     */
    public static ConfigDistributorBuilder builder() {
        return new ConfigDistributorBuilder();
    }

    /** Starts the distribution: decides periodically which steps are due and runs them. */
    public void start() {
        subscribe(installed -> timing = DistributionTiming.of(installed.config().timing()));
        decisionExecutor.scheduleWithFixedDelay(this::tick, 0, timing.decisionPeriodMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Records the version that a peer reported.
     *
     * @param peerAddress the address of the peer, as {@code ADDRESS:PORT}
     * @param version the version that is installed on the peer
     */
    public void onPeerVersion(String peerAddress, long version) {
        if (version > installer.version()) {
            peerFollower.recordPeerVersion(peerAddress, version);
            submit(decisionExecutor, this::tick);
        }
    }

    /**
     * Returns the bundle for a peer that requests the configuration.
     *
     * @param peerVersion the version that is installed on the peer
     * @return the bundle, empty when no newer version is installed on this node
     */
    public Optional<ConfigBundle> bundleFor(long peerVersion) {
        return installer.bundleFor(peerVersion);
    }

    /**
     * Passes the installed version, if there is one, and each newer one to a callback.
     *
     * @param onVersion receives the versions; must not block
     * @return cancels the subscription when run
     */
    public Runnable subscribeToVersions(LongConsumer onVersion) {
        return installer.subscribe(installed -> onVersion.accept(installed.version()));
    }

    /**
     * Returns the installed version.
     *
     * @return the version; 0 when no configuration is installed
     */
    public long version() {
        return installer.version();
    }

    /**
     * Returns the reason why this node has no configuration.
     *
     * @return the reason for an operator; empty when a configuration is installed
     */
    public Optional<String> missingConfigReason() {
        if (installer.active().isPresent()) {
            return Optional.empty();
        }
        if (storeFollower.lastFailure().isPresent()) {
            return Optional.of(
                    "no configuration: " + storeFollower.lastFailure().get() + "; " + peerFollower.respondedPeerCount()
                            + " peers answered and none had a configuration");
        }
        return Optional.of(
                storeFollower.isHeadAbsent()
                        ? "no configuration was accepted yet"
                        : "the configuration has not been read yet");
    }

    @Override
    public Optional<VersionedConfig> active() {
        return installer.active();
    }

    @Override
    public void subscribe(Consumer<VersionedConfig> listener) {
        installer.subscribe(listener);
    }

    /** Stops the distribution and closes the store watch and the relay stream; does not wait for calls in progress. */
    @Override
    public void close() {
        decisionExecutor.shutdownNow();
        submit(storeExecutor, storeFollower::closeWatch);
        submit(peerExecutor, peerFollower::unfollow);
        storeExecutor.shutdown();
        peerExecutor.shutdown();
    }

    private void tick() {
        try {
            runDueSteps();
        } catch (RuntimeException e) {
            // An exception would cancel the schedule.
            LOG.log(
                    System.Logger.Level.ERROR,
                    "a step of the configuration distribution failed; retrying in the next decision period",
                    e);
        }
    }

    private void runDueSteps() {
        long nowMillis = monotonicMillis.getAsLong();
        Set<DistributionPolicy.Step> steps = DistributionPolicy.of(timing).decide(currentState(), nowMillis);
        for (DistributionPolicy.Step step : steps) {
            runStep(step, nowMillis);
        }
    }

    private void runStep(DistributionPolicy.Step step, long nowMillis) {
        switch (step) {
            case READ_HEAD -> {
                lastReadMillis = nowMillis;
                submitUnlessPending(storeExecutor, headReadPending, storeFollower::readHead);
            }
            case OPEN_WATCH -> {
                lastWatchMillis = nowMillis;
                submit(storeExecutor, storeFollower::openWatch);
            }
            case CLOSE_WATCH -> {
                submit(storeExecutor, storeFollower::closeWatch);
            }
            case FOLLOW -> {
                lastFollowMillis = nowMillis;
                relayAddress()
                        .ifPresent(relay -> submit(
                                peerExecutor,
                                () -> peerFollower.follow(relay, version -> onPeerVersion(relay, version))));
            }
            case UNFOLLOW -> submit(peerExecutor, peerFollower::unfollow);
            case FETCH -> {
                lastFetchMillis = nowMillis;
                submitUnlessPending(peerExecutor, fetchPending, peerFollower::fetch);
            }
            default -> throw new IllegalStateException("unknown step " + step);
        }
    }

    private DistributionState currentState() {
        return new DistributionState(
                rank(),
                relayAddress(),
                installer.version(),
                peerFollower.newestPeerVersion(),
                contactAgeMillis.getAsLong(),
                storeFollower.isWatching(),
                peerFollower.followedAddress(),
                lastReadMillis,
                lastWatchMillis,
                lastFetchMillis,
                lastFollowMillis);
    }

    private int rank() {
        return rankedInstances().indexOf(self);
    }

    /**
     * Returns the live instances of the failure domain in an order that every node with the same members computes; the
     * first ones are relays.
     */
    private List<InstanceId> rankedInstances() {
        List<InstanceId> live = new ArrayList<>();
        live.add(self);
        livePeersInDomain().forEach(member -> live.add(member.id()));
        return RendezvousRanking.rank(RELAY_RANKING_SEED, live);
    }

    /**
     * Returns the address of the relay to follow, chosen by rank so that nodes spread over the relays; empty on a
     * relay.
     */
    private Optional<String> relayAddress() {
        List<InstanceId> ranked = rankedInstances();
        if (ranked.indexOf(self) < DistributionPolicy.RELAYS) {
            return Optional.empty();
        }
        int choice = ranked.indexOf(self) % DistributionPolicy.RELAYS;
        return livePeersInDomain().stream()
                .filter(member -> member.id().equals(ranked.get(choice)))
                .map(Member::peerAddress)
                .findFirst();
    }

    private List<Member> livePeersInDomain() {
        return otherMembers.get().stream()
                .filter(member -> member.state() == Member.State.LIVE)
                .filter(member -> member.failureDomain().equals(failureDomain))
                .toList();
    }

    private static void submitUnlessPending(ExecutorService executor, AtomicBoolean pending, Runnable task) {
        if (pending.compareAndSet(false, true)) {
            submit(executor, () -> {
                try {
                    task.run();
                } finally {
                    pending.set(false);
                }
            });
        }
    }

    private static void submit(ExecutorService executor, Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException e) {
            // The node is shutting down.
        }
    }
}
