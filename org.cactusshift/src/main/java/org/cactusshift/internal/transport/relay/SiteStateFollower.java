package org.cactusshift.internal.transport.relay;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.UpstreamId;
import org.cactusshift.internal.coordination.serving.CrashDetector;
import org.cactusshift.internal.coordination.serving.ReadPacing;
import org.cactusshift.internal.coordination.serving.RecentChanges;
import org.cactusshift.internal.coordination.serving.ServingConfig;
import org.cactusshift.internal.coordination.serving.SiteChanges;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.serving.UpstreamEntry;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;
import org.cactusshift.internal.coordination.store.KeyChange;
import org.cactusshift.internal.coordination.store.RangeResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Keeps the configuration, the upstreams and the values that nodes write, as this node knows them, up to date with the
 * store.
 *
 * <p>One periodic read of all changes serves all three, as each call to the store is charged. The nodes of a failure
 * domain tell each other what they have read, so that mostly one of them reads; see {@link ReadPacing}. What is told
 * counts like a read if it begins at the revision that this node knows, otherwise this node reads itself. While the
 * store is unavailable the last state stays in use.
 */
public final class SiteStateFollower {
    /** A read does not wait for a change: others would take a reader that waits for one that is gone. */
    private static final long LONG_POLL_MILLIS = 0;

    /** Minimum time between the start of a failed read and the next read. */
    private static final long RETRY_MILLIS = 250;

    /** The store counts as unavailable when a read fails this long after the last successful one. */
    private static final long UNAVAILABLE_AFTER_MILLIS = 1_500;

    /** The state is current while it is not older than the time that this many reads take. */
    private static final int CURRENT_READS = 2;

    /**
     * How long after the store has recovered a missing entry may be one that expired during the outage; upstreams
     * register again within this time.
     */
    private static final long RECOVERY_MILLIS = 3_000;

    private final AsyncKeyValueStore store;
    private final StoreValueDecoder decoder;
    private final UpstreamDirectory directory;
    private final CrashDetector crashDetector;
    private final EventLoop eventLoop;
    private final RelayClock clock;
    private final EventLog log;
    private final RelayMetrics metrics;
    private final String nodeKeyPrefix;
    private final ReadPacing pacing;
    private final long longestPeriodMillis;
    private final RecentChanges recentChanges = RecentChanges.create();
    private IntSupplier readerRank = () -> 0;
    private Consumer<SiteChanges> changesListener = changes -> {};
    private final Map<String, VersionedValue> nodeValueByKey = new HashMap<>();
    private final Set<String> malformedKeys = new HashSet<>();
    private Optional<ServingConfig> config = Optional.empty();
    private long revision;

    /** Whether changes can be read from the revision; false before the first list and after the history was lost. */
    private boolean canFollowChanges;

    private boolean hasListedOnce;
    private boolean storeUnavailable;

    /**
     * When the last read that succeeded was started, by this node or another one that told of it, or when following was
     * started; by the monotonic and the wall clock.
     */
    private long lastResponseAtMillis;

    private long lastResponseEpochMillis;

    /** The timer of the next read; null while a read is pending. */
    private ScheduledFuture<?> nextRead;

    /** Whether the next read is to follow a gap in what other nodes have told. */
    private boolean readsSoon;

    /** When the last read of this node that succeeded was started. */
    private long lastReadStartedAtMillis = Long.MIN_VALUE;

    private long recoveredAtMillis = Long.MIN_VALUE / 2;
    private boolean stopped;
    private long nodeValuesVersion;
    private Runnable readListener = () -> {};

    private SiteStateFollower(Dependencies dependencies, String nodeKeyPrefix, long delayLimitMillis) {
        this.pacing = ReadPacing.of(delayLimitMillis);
        this.longestPeriodMillis = longestPeriodMillis(delayLimitMillis);
        this.store = dependencies.store();
        this.decoder = dependencies.decoder();
        this.directory = dependencies.directory();
        this.crashDetector = dependencies.crashDetector();
        this.eventLoop = dependencies.eventLoop();
        this.clock = dependencies.clock();
        this.log = dependencies.log();
        this.metrics = dependencies.metrics();
        this.nodeKeyPrefix = nodeKeyPrefix;
    }

    /**
     * The components that a follower reads from and reports to.
     *
     * @param store the store
     * @param decoder decodes values of the store
     * @param directory receives the upstreams
     * @param crashDetector is informed of upstreams that restarted or are gone
     * @param eventLoop the event loop
     * @param clock the monotonic and the wall clock
     * @param log records changes of upstreams, of the configuration and of the store's availability
     * @param metrics records the version of the active configuration
     */
    public record Dependencies(
            AsyncKeyValueStore store,
            StoreValueDecoder decoder,
            UpstreamDirectory directory,
            CrashDetector crashDetector,
            EventLoop eventLoop,
            RelayClock clock,
            EventLog log,
            RelayMetrics metrics) {}

    /**
     * Returns a follower that has read nothing yet.
     *
     * @param dependencies the dependencies
     * @param nodeKeyPrefix the prefix of the keys that nodes write
     * @param delayLimitMillis the time within which a change must be seen here
     * @return the follower
     */
    public static SiteStateFollower create(Dependencies dependencies, String nodeKeyPrefix, long delayLimitMillis) {
        return new SiteStateFollower(dependencies, nodeKeyPrefix, delayLimitMillis);
    }

    /**
     * Returns the delay with which a change is seen when one read is lost: the change happens just after a read, so
     * that a whole period passes, then the lost read times out, and another one follows.
     *
     * @param delayLimitMillis the time within which a change must be seen
     * @param callTimeoutMillis the call timeout
     * @return the delay, without the duration of the read that succeeds
     */
    public static long maximumDelayMillis(long delayLimitMillis, long callTimeoutMillis) {
        return longestPeriodMillis(delayLimitMillis) + LONG_POLL_MILLIS + callTimeoutMillis + RETRY_MILLIS;
    }

    private static long longestPeriodMillis(long delayLimitMillis) {
        return Math.round(ReadPacing.LONGEST_PERIOD_SHARE * delayLimitMillis);
    }

    /**
     * Sets the listener that is called after each read that succeeded, by this node or another one that told of it.
     *
     * @param listener the listener
     */
    public void setReadListener(Runnable listener) {
        readListener = listener;
    }

    /**
     * Makes the nodes of a failure domain read in turn.
     *
     * @param rank supplies the position of this node among those that read
     * @param listener receives what other nodes may be told of each read
     */
    void shareReads(IntSupplier rank, Consumer<SiteChanges> listener) {
        readerRank = rank;
        changesListener = listener;
    }

    /** Starts following. */
    public void start() {
        lastResponseAtMillis = clock.monotonicMillis();
        lastResponseEpochMillis = clock.epochMillis();
        read();
    }

    /** Stops following. */
    public void stop() {
        stopped = true;
    }

    /**
     * Returns the active configuration.
     *
     * @return the configuration, empty while none has been read
     */
    public Optional<ServingConfig> config() {
        return config;
    }

    /**
     * Returns whether all that a node needs to serve has been read.
     *
     * @return whether the keys were listed once and a configuration is active
     */
    public boolean isReady() {
        return hasListedOnce && config.isPresent();
    }

    /**
     * Returns whether the store is unavailable.
     *
     * @return whether a read failed and none has succeeded for some time
     */
    public boolean isStoreUnavailable() {
        return storeUnavailable;
    }

    /**
     * Returns whether this node knows the state of the site as it was a short time ago. The monotonic clock stops while
     * the machine is suspended, so the time must be short by the wall clock too.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @param epochMillis the wall-clock time
     * @return whether a read of the store succeeded within the time of about two reads
     */
    public boolean isCurrent(long nowMillis, long epochMillis) {
        long maximumAgeMillis = Math.max(UNAVAILABLE_AFTER_MILLIS, CURRENT_READS * longestPeriodMillis);
        return nowMillis - lastResponseAtMillis <= maximumAgeMillis
                && Math.abs(epochMillis - lastResponseEpochMillis) <= maximumAgeMillis;
    }

    /**
     * Returns a time from which on the state was read.
     *
     * @return the monotonic time, in milliseconds, at which the last successful read was started
     */
    public long readSinceMillis() {
        return lastReadStartedAtMillis;
    }

    /**
     * Returns the values that nodes wrote.
     *
     * @return the values by key; a live view
     */
    public Map<String, VersionedValue> nodeValueByKey() {
        return nodeValueByKey;
    }

    /**
     * Returns a number that grows whenever the values that nodes wrote may have changed, so that data derived from them
     * can be cached.
     *
     * @return the number
     */
    public long nodeValuesVersion() {
        return nodeValuesVersion;
    }

    /** Reads if no other node has told of a read meanwhile. */
    private void readWhenDue() {
        if (stopped) {
            return;
        }
        if (lastResponseAtMillis + pacing.periodMillis(readerRank.getAsInt()) > clock.monotonicMillis()) {
            scheduleNextRead();
        } else {
            read();
        }
    }

    private void scheduleNextRead() {
        long dueAtMillis = lastResponseAtMillis + pacing.periodMillis(readerRank.getAsInt());
        long delayMillis = Math.max(0, dueAtMillis - clock.monotonicMillis());
        nextRead = eventLoop.schedule(this::readWhenDue, delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Receives what another node has read. It is used if it begins at the revision that this node knows, or before;
     * otherwise this node reads soon.
     *
     * @param told the changes
     */
    void onTold(SiteChanges told) {
        if (stopped || !canFollowChanges || told.toRevision() < revision) {
            return;
        }
        if (told.fromRevision() > revision) {
            readSoon();
            return;
        }
        onReadAt(clock.monotonicMillis() - told.ageMillis());
        apply(told.changes(), told.toRevision());
    }

    /** Reads at once, unless a read is pending; the nodes of a failure domain do so one after the other. */
    private void readSoon() {
        if (!readsSoon && nextRead != null && nextRead.cancel(false)) {
            readsSoon = true;
            int rank = readerRank.getAsInt();
            long delayMillis = pacing.periodMillis(rank) - pacing.periodMillis(0);
            nextRead = eventLoop.schedule(this::read, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void read() {
        if (stopped) {
            return;
        }
        nextRead = null;
        readsSoon = false;
        long startedAtMillis = clock.monotonicMillis();
        if (canFollowChanges) {
            store.awaitChanges("", revision, LONG_POLL_MILLIS, changes -> onChanges(changes, startedAtMillis));
        } else {
            store.list("", values -> onList(values, startedAtMillis));
        }
    }

    private void scheduleRetry(long startedAtMillis) {
        long delayMillis = Math.max(0, startedAtMillis + RETRY_MILLIS - clock.monotonicMillis());
        nextRead = eventLoop.schedule(this::read, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void onList(Either<Failure, RangeResult> values, long startedAtMillis) {
        if (values.isLeft()) {
            onReadFailed(values.getLeft());
            scheduleRetry(startedAtMillis);
            return;
        }
        onReadSucceeded(startedAtMillis);
        long now = clock.monotonicMillis();
        List<UpstreamEntry> entries = new ArrayList<>();
        nodeValueByKey.clear();
        nodeValuesVersion++;
        for (VersionedValue value : values.get().values()) {
            if (value.key().startsWith(decoder.upstreamPrefix())) {
                readUpstream(value).ifPresent(entries::add);
            } else {
                onValue(value);
            }
        }
        directory.replaceAll(entries, wasRecentlyUnavailable(now), now);
        revision = values.get().revision();
        log.event("site.listed")
                .with("upstreams", entries.size())
                .with("revision", revision)
                .write();
        canFollowChanges = true;
        hasListedOnce = true;
        readListener.run();
        recentChanges.clear();
        scheduleNextRead();
    }

    private void onChanges(Either<Failure, AsyncKeyValueStore.Changes> changes, long startedAtMillis) {
        if (changes.isLeft()) {
            Failure failure = changes.getLeft();
            if (failure.kind() == Failure.Kind.REJECTED) {
                // The history after the revision was compacted, so all keys are listed again.
                log.event("site.historyLost").with("revision", revision).write();
                canFollowChanges = false;
                eventLoop.execute(this::read);
                return;
            }
            onReadFailed(failure);
            scheduleRetry(startedAtMillis);
            return;
        }
        onReadSucceeded(startedAtMillis);
        long fromRevision = revision;
        List<KeyChange> newChanges =
                apply(changes.get().changes(), changes.get().revision());
        long ageMillis = clock.monotonicMillis() - startedAtMillis;
        changesListener.accept(recentChanges.onRead(fromRevision, revision, newChanges, ageMillis));
        scheduleNextRead();
    }

    private void onReadFailed(Failure failure) {
        if (!storeUnavailable && clock.monotonicMillis() - lastResponseAtMillis > UNAVAILABLE_AFTER_MILLIS) {
            storeUnavailable = true;
            log.event("store.lost").with("failure", failure.toString()).write();
        }
    }

    /** Applies changes that this node does not know yet; returns those that change what it knows. */
    private List<KeyChange> apply(List<KeyChange> changes, long toRevision) {
        List<KeyChange> newChanges = new ArrayList<>();
        for (KeyChange change : changes) {
            if (change.revision() > revision && !repeatsWhatIsKnown(change)) {
                newChanges.add(change);
                onChange(change);
            }
        }
        revision = Math.max(revision, toRevision);
        readListener.run();
        return newChanges;
    }

    /** Returns whether an upstream has only written its entry again. */
    private boolean repeatsWhatIsKnown(KeyChange change) {
        if (change.value().isEmpty() || !change.key().startsWith(decoder.upstreamPrefix())) {
            return false;
        }
        String id = change.key().substring(decoder.upstreamPrefix().length());
        Either<String, UpstreamEntry> entry =
                decoder.decodeUpstream(id, change.value().get().value());
        return entry.isRight() && directory.isListedAs(entry.get());
    }

    private void onReadSucceeded(long startedAtMillis) {
        lastReadStartedAtMillis = startedAtMillis;
        onReadAt(startedAtMillis);
    }

    /** Records that the store was read at a time, by this node or another one. */
    private void onReadAt(long readAtMillis) {
        long now = clock.monotonicMillis();
        if (storeUnavailable) {
            storeUnavailable = false;
            recoveredAtMillis = now;
            log.event("store.regained")
                    .with("awayMillis", now - lastResponseAtMillis)
                    .write();
        }
        lastResponseAtMillis = Math.max(lastResponseAtMillis, readAtMillis);
        lastResponseEpochMillis = clock.epochMillis() - (now - lastResponseAtMillis);
    }

    private boolean wasRecentlyUnavailable(long now) {
        return now - recoveredAtMillis < RECOVERY_MILLIS;
    }

    private void onChange(KeyChange change) {
        if (change.value().isPresent()) {
            VersionedValue value = change.value().get();
            if (value.key().startsWith(decoder.upstreamPrefix())) {
                // An upstream whose new entry is malformed is treated as gone.
                readUpstream(value)
                        .ifPresentOrElse(
                                this::onUpstream,
                                () -> onUpstreamGone(value.key()
                                        .substring(decoder.upstreamPrefix().length())));
            } else {
                onValue(value);
            }
        } else if (change.key().startsWith(decoder.upstreamPrefix())) {
            onUpstreamGone(change.key().substring(decoder.upstreamPrefix().length()));
        } else {
            nodeValueByKey.remove(change.key());
            nodeValuesVersion++;
        }
    }

    private void onUpstream(UpstreamEntry entry) {
        boolean wasListed = directory.find(entry.id()).isPresent();
        boolean wasLeaving =
                directory.find(entry.id()).map(upstream -> upstream.isLeaving()).orElse(false);
        boolean isNew = directory.put(entry).isPresent();
        if (wasListed && isNew) {
            crashDetector.onUpstreamDown(entry.id(), clock.monotonicMillis());
        }
        if (isNew || wasLeaving != entry.leaving()) {
            log.event("upstream.listed")
                    .with("upstream", entry.id().value())
                    .with("service", entry.service().value())
                    .with("stage", entry.stage())
                    .with("softwareVersion", entry.softwareVersion().value())
                    .with("leaving", entry.leaving())
                    .with("restarted", wasListed && isNew)
                    .write();
        }
    }

    private void onUpstreamGone(String id) {
        long now = clock.monotonicMillis();
        try {
            UpstreamId upstream = UpstreamId.fromString(id);
            boolean wasLeaving =
                    directory.find(upstream).map(known -> known.isLeaving()).orElse(false);
            directory.remove(upstream, wasRecentlyUnavailable(now), now);
            if (!wasLeaving) {
                crashDetector.onUpstreamDown(upstream, now);
            }
            log.event("upstream.gone")
                    .with("upstream", id)
                    .with("storeWasAway", wasRecentlyUnavailable(now))
                    .write();
        } catch (IllegalArgumentException e) {
            logMalformedOnce(id, e.getMessage());
        }
    }

    private Optional<UpstreamEntry> readUpstream(VersionedValue value) {
        String id = value.key().substring(decoder.upstreamPrefix().length());
        Either<String, UpstreamEntry> entry = decoder.decodeUpstream(id, value.value());
        if (entry.isLeft()) {
            logMalformedOnce(value.key(), entry.getLeft());
            return Optional.empty();
        }
        return Optional.of(entry.get());
    }

    /** Logs a malformed value, once for each key. */
    private void logMalformedOnce(String key, String reason) {
        if (malformedKeys.add(key)) {
            log.event("store.malformed").with("key", key).with("reason", reason).write();
        }
    }

    private void onValue(VersionedValue value) {
        if (value.key().equals(decoder.configKey())) {
            onConfig(value);
        } else if (value.key().startsWith(nodeKeyPrefix)) {
            nodeValueByKey.put(value.key(), value);
            nodeValuesVersion++;
        }
    }

    private void onConfig(VersionedValue value) {
        Either<String, ServingConfig> read = decoder.decodeConfig(value.value());
        if (read.isLeft()) {
            logMalformedOnce(value.key(), read.getLeft());
            return;
        }
        long activeVersion = config.map(ServingConfig::version).orElse(Long.MIN_VALUE);
        if (read.get().version() > activeVersion) {
            config = Optional.of(read.get());
            metrics.onConfigActivated(read.get().version());
            log.event("config.inForce")
                    .with("configVersion", read.get().version())
                    .with("revision", value.modRevision())
                    .write();
        }
    }
}
