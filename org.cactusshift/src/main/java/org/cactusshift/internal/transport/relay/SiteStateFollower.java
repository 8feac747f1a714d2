package org.cactusshift.internal.transport.relay;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.cactusshift.internal.coordination.store.StorePosition;
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

    /**
     * How long after its start a node uses no message that states no era: the peer, of a build that knows no eras, may
     * tell of reads from before and after a restore in one message. A node that has seen a restore uses none at all.
     */
    private static final long UNKNOWN_ERA_DISTRUST_MILLIS = 10_000;

    private final AsyncKeyValueStore store;
    private final StoreValueDecoder decoder;
    private final StoreValueReader reader;
    private final UpstreamDirectory directory;
    private final CrashDetector crashDetector;
    private final EventLoop eventLoop;
    private final RelayClock clock;
    private final EventLog log;
    private final RelayMetrics metrics;
    private final String nodeKeyPrefix;
    private final ReadPacing pacing;
    private final long longestPeriodMillis;
    private final StoreContact contact;
    private final RecentChanges recentChanges = RecentChanges.create();
    private IntSupplier readerRank = () -> 0;
    private Consumer<SiteChanges> changesListener = changes -> {};
    private final Map<String, VersionedValue> nodeValueByKey = new HashMap<>();
    private Optional<ServingConfig> config = Optional.empty();
    private StorePosition position = StorePosition.START;

    /**
     * Whether changes can be read from the position; false before the first list, after the history was lost and after
     * the store was restored from a copy.
     */
    private boolean canFollowChanges;

    /** Whether the next read is to list all keys, as the changes did not arrive in time. */
    private boolean listsNext;

    /** Whether the store was restored while this node followed it. */
    private boolean hasSeenRestore;

    private long followingSinceMillis;

    private boolean hasListedOnce;
    /** The timer of the next read; null while a read is pending. */
    private ScheduledFuture<?> nextRead;

    /** Whether the next read is to follow a gap in what other nodes have told. */
    private boolean readsSoon;

    /** When the last read of this node that succeeded was started. */
    private long lastReadStartedAtMillis = Long.MIN_VALUE;

    private boolean stopped;
    private long nodeValuesVersion;
    private Runnable readListener = () -> {};

    private SiteStateFollower(Dependencies dependencies, String nodeKeyPrefix, long delayLimitMillis) {
        this.pacing = ReadPacing.of(delayLimitMillis);
        this.longestPeriodMillis = longestPeriodMillis(delayLimitMillis);
        this.contact = StoreContact.create(dependencies.log(), longestPeriodMillis);
        this.store = dependencies.store();
        this.decoder = dependencies.decoder();
        this.reader = new StoreValueReader(decoder, dependencies.log());
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
        followingSinceMillis = clock.monotonicMillis();
        contact.start(followingSinceMillis, clock.epochMillis());
        read();
    }

    /**
     * Reads the whole state anew, as the store was restored from a copy. Until then the state that is known stays in
     * use. To be called before an answer of the new era is used.
     */
    void onStoreRestored() {
        hasSeenRestore = true;
        canFollowChanges = false;
        if (nextRead != null && nextRead.cancel(false)) {
            scheduleList();
        }
    }

    /**
     * Returns whether the values that nodes wrote are those of the current era of the store.
     *
     * @return false after the store was restored, until the whole state has been read
     */
    boolean hasReadCurrentEra() {
        return canFollowChanges;
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
        return contact.isUnavailable();
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
        return contact.isCurrent(nowMillis, epochMillis);
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
     * Returns the longest time between two reads of a node that reaches the store.
     *
     * @return the time in milliseconds
     */
    long longestReadPeriodMillis() {
        return longestPeriodMillis;
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
        if (contact.lastReadAtMillis() + pacing.periodMillis(readerRank.getAsInt()) > clock.monotonicMillis()) {
            scheduleNextRead();
        } else {
            read();
        }
    }

    private void scheduleNextRead() {
        long dueAtMillis = contact.lastReadAtMillis() + pacing.periodMillis(readerRank.getAsInt());
        long delayMillis = Math.max(0, dueAtMillis - clock.monotonicMillis());
        nextRead = eventLoop.schedule(this::readWhenDue, delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Receives what another node has read. A newer configuration is used whatever the era, as its version tells.
     *
     * @param told the changes
     */
    void onTold(SiteChanges told) {
        if (stopped || !canFollowChanges) {
            return;
        }
        switch (told.useAt(position, trustsUnknownEra())) {
            case APPLY -> {
                onReadAt(clock.monotonicMillis() - told.ageMillis());
                apply(told.changes(), told.toRevision());
                listsNext = false;
            }
            case READ -> readSoon();
            case READ_NEW_ERA -> {
                told.changes()
                        .forEach(change -> change.value()
                                .filter(value -> value.key().equals(decoder.configKey()))
                                .ifPresent(this::onConfig));
                readSoon();
            }
            default -> {}
        }
    }

    private boolean trustsUnknownEra() {
        return !hasSeenRestore && clock.monotonicMillis() - followingSinceMillis >= UNKNOWN_ERA_DISTRUST_MILLIS;
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
        if (canFollowChanges && !listsNext) {
            store.awaitChanges(
                    "", position.revision(), LONG_POLL_MILLIS, changes -> onChanges(changes, startedAtMillis));
        } else {
            store.list("", values -> onList(values, startedAtMillis));
        }
    }

    private void scheduleRetryOrList(long startedAtMillis) {
        long delayMillis = Math.max(0, startedAtMillis + RETRY_MILLIS - clock.monotonicMillis());
        if (listsNext) {
            // After an outage many nodes list, one after the other.
            delayMillis += pacing.listDelayMillis(readerRank.getAsInt());
        }
        nextRead = eventLoop.schedule(this::read, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Reads all keys; the nodes of a failure domain do so one after the other. */
    private void scheduleList() {
        long delayMillis = pacing.listDelayMillis(readerRank.getAsInt());
        nextRead = eventLoop.schedule(this::read, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void onList(Either<Failure, AsyncKeyValueStore.Listing> values, long startedAtMillis) {
        if (values.isLeft()) {
            onReadFailed(values.getLeft());
            scheduleRetryOrList(startedAtMillis);
            return;
        }
        onReadSucceeded(startedAtMillis);
        if (canFollowChanges && values.get().position().compareTo(position) < 0) {
            // Other nodes have told of later changes while the list arrived, so that nothing is missing.
            listsNext = false;
            scheduleNextRead();
            return;
        }
        long now = clock.monotonicMillis();
        List<UpstreamEntry> entries = new ArrayList<>();
        nodeValueByKey.clear();
        nodeValuesVersion++;
        for (VersionedValue value : values.get().values()) {
            if (value.key().startsWith(decoder.upstreamPrefix())) {
                reader.upstream(value).ifPresent(entries::add);
            } else {
                onValue(value);
            }
        }
        boolean isRestored = hasListedOnce && values.get().position().era() > position.era();
        if (isRestored) {
            // Entries that were written after the copy was taken are missing until the upstreams write them again.
            contact.onRestored(now);
            directory.replaceAllAfterRestore(entries, now);
        } else {
            directory.replaceAll(entries, contact.wasRecentlyUnavailable(now), now);
        }
        position = values.get().position();
        log.event("site.listed")
                .with("upstreams", entries.size())
                .with("era", position.era())
                .with("revision", position.revision())
                .write();
        canFollowChanges = true;
        listsNext = false;
        hasListedOnce = true;
        readListener.run();
        recentChanges.clear();
        if (isRestored) {
            tellConfig(values.get(), now - startedAtMillis);
        }
        scheduleNextRead();
    }

    /** Tells other nodes of the restored store, and of its configuration in case that they do not reach the store. */
    private void tellConfig(AsyncKeyValueStore.Listing listing, long ageMillis) {
        List<KeyChange> changes = listing.values().stream()
                .filter(value -> value.key().equals(decoder.configKey()))
                .map(value -> new KeyChange(value.key(), Optional.of(value), value.modRevision()))
                .toList();
        // Read as changes from the current position on, so that they are left out if they are too long.
        changesListener.accept(recentChanges.onRead(position, position, changes, ageMillis));
    }

    private void onChanges(Either<Failure, AsyncKeyValueStore.Changes> changes, long startedAtMillis) {
        if (changes.isLeft()) {
            Failure failure = changes.getLeft();
            if (failure.kind() == Failure.Kind.REJECTED) {
                // The history after the revision was compacted, so all keys are listed again.
                log.event("site.historyLost")
                        .with("revision", position.revision())
                        .with("reason", failure.message())
                        .write();
                canFollowChanges = false;
                scheduleList();
                return;
            }
            listsNext = failure.kind() == Failure.Kind.UNKNOWN_EFFECT && contact.isFarBehind(clock.monotonicMillis());
            onReadFailed(failure);
            scheduleRetryOrList(startedAtMillis);
            return;
        }
        onReadSucceeded(startedAtMillis);
        StorePosition from = position;
        List<KeyChange> newChanges =
                apply(changes.get().changes(), changes.get().position().revision());
        long ageMillis = clock.monotonicMillis() - startedAtMillis;
        changesListener.accept(recentChanges.onRead(from, position, newChanges, ageMillis));
        scheduleNextRead();
    }

    private void onReadFailed(Failure failure) {
        contact.onReadFailed(failure, clock.monotonicMillis());
    }

    /** Applies changes that this node does not know yet; returns those that change what it knows. */
    private List<KeyChange> apply(List<KeyChange> changes, long toRevision) {
        List<KeyChange> newChanges = new ArrayList<>();
        for (KeyChange change : changes) {
            if (change.revision() > position.revision() && !repeatsWhatIsKnown(change)) {
                newChanges.add(change);
                onChange(change);
            }
        }
        position = position.withRevision(Math.max(position.revision(), toRevision));
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
        contact.onRead(readAtMillis, clock.monotonicMillis(), clock.epochMillis());
    }

    private void onChange(KeyChange change) {
        if (change.value().isPresent()) {
            VersionedValue value = change.value().get();
            if (value.key().startsWith(decoder.upstreamPrefix())) {
                // An upstream whose new entry is malformed is treated as gone.
                reader.upstream(value)
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
                    .with("address", entry.address())
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
            directory.remove(upstream, contact.wasRecentlyUnavailable(now), now);
            if (!wasLeaving) {
                crashDetector.onUpstreamDown(upstream, now);
            }
            log.event("upstream.gone")
                    .with("upstream", id)
                    .with("storeWasAway", contact.wasRecentlyUnavailable(now))
                    .write();
        } catch (IllegalArgumentException e) {
            reader.logMalformed(id, e.getMessage());
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
        Optional<ServingConfig> read = reader.config(value);
        if (read.isEmpty()) {
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
