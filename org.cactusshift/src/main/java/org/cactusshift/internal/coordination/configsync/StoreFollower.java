package org.cactusshift.internal.coordination.configsync;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.cactusshift.internal.coordination.store.Watch;
import org.cactusshift.internal.coordination.store.WatchListener;

/**
 * Reads and watches the configuration head in the key-value store. {@link #readHead}, {@link #openWatch} and
 * {@link #closeWatch} block and must run on one thread.
 */
final class StoreFollower {
    private final ConfigRepository repository;
    private final ConfigInstaller installer;
    private final LongSupplier monotonicMillis;
    private final Consumer<Runnable> executor;
    private volatile Optional<Failure> lastFailure = Optional.empty();
    private volatile boolean headAbsent;
    private volatile boolean watching;
    private volatile long watchedVersion;
    private long lastReadVersion;
    private HeadListener listener;
    private Watch watch;

    StoreFollower(
            ConfigRepository repository,
            ConfigInstaller installer,
            LongSupplier monotonicMillis,
            Consumer<Runnable> executor) {
        this.repository = repository;
        this.installer = installer;
        this.monotonicMillis = monotonicMillis;
        this.executor = executor;
    }

    /** Reads the head and installs the version that it refers to. */
    void readHead() {
        long sentMillis = monotonicMillis.getAsLong();
        Either<Failure, Optional<ConfigHead>> read = repository.readHead();
        if (read.isLeft()) {
            lastFailure = Optional.of(read.getLeft());
            return;
        }
        headAbsent = read.get().isEmpty();
        lastFailure = Optional.empty();
        read.get().ifPresent(this::install);
        long version = read.get().map(ConfigHead::version).orElse(0L);
        installer.notifyStoreContact(sentMillis, version);
        reopenStalledWatch(version);
    }

    /**
     * Reopens the watch if it has still not reported the version that the previous read found; otherwise remembers the
     * version of this read for the next call.
     */
    private void reopenStalledWatch(long version) {
        boolean stalled = watch != null && lastReadVersion > watchedVersion;
        lastReadVersion = version;
        if (stalled) {
            closeWatch();
            openWatch();
        }
    }

    private void install(ConfigHead head) {
        Supplier<Either<Failure, ConfigBundle>> load = () -> repository.loadBundle(head, installer.bundle());
        installer.install(head, load).peekLeft(failure -> lastFailure = Optional.of(failure));
    }

    void openWatch() {
        if (watching) {
            return;
        }
        watching = true;
        watchedVersion = 0;
        lastReadVersion = 0;
        HeadListener newListener = new HeadListener();
        listener = newListener;
        Either<Failure, Watch> opened = repository.watchHead(newListener);
        if (opened.isLeft()) {
            watching = false;
            lastFailure = Optional.of(opened.getLeft());
        } else {
            watch = opened.get();
        }
    }

    void closeWatch() {
        if (watch != null) {
            watch.close();
            watch = null;
        }
        listener = null;
        watching = false;
    }

    boolean isWatching() {
        return watching;
    }

    boolean isHeadAbsent() {
        return headAbsent;
    }

    Optional<Failure> lastFailure() {
        return lastFailure;
    }

    /** Passes the events of one watch to the executor. */
    private final class HeadListener implements WatchListener {
        @Override
        public void onChange(String key, Optional<VersionedValue> value, long revision) {
            value.flatMap(found -> RetryingStore.decode(found, ConfigHead.class).toJavaOptional())
                    .ifPresent(head -> {
                        watchedVersion = Math.max(watchedVersion, head.version());
                        installer.announceHead(head);
                        executor.accept(() -> install(head));
                    });
        }

        @Override
        public void onProgress(long revision) {
            // A progress event may be arbitrarily old, so it does not prove store contact; a read of the head does.
        }

        @Override
        public void onEnd(Failure failure) {
            executor.accept(() -> clearEndedWatch(this));
        }
    }

    /** Clears a watch that has ended, unless another watch has replaced it. */
    private void clearEndedWatch(HeadListener ended) {
        if (listener == ended) {
            watch = null;
            watching = false;
        }
    }
}
