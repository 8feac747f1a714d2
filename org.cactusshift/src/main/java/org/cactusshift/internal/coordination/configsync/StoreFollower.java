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

/** Reads and watches the configuration's head in the key-value service; its methods block and run in one thread. */
final class StoreFollower {
    private final ConfigRepository repository;
    private final ConfigInstaller installer;
    private final LongSupplier nowMillis;
    private final Consumer<Runnable> executor;
    private volatile Optional<Failure> lastFailure = Optional.empty();
    private volatile boolean storeEmpty;
    private volatile boolean watching;
    private volatile long watchedVersion;
    private long lastReadVersion;
    private HeadListener listener;
    private Watch watch;

    StoreFollower(
            ConfigRepository repository, ConfigInstaller installer, LongSupplier nowMillis, Consumer<Runnable> lane) {
        this.repository = repository;
        this.installer = installer;
        this.nowMillis = nowMillis;
        this.executor = lane;
    }

    /** Reads the head and installs what it names. */
    void readHead() {
        long sentMillis = nowMillis.getAsLong();
        Either<Failure, Optional<ConfigHead>> read = repository.readHead();
        if (read.isLeft()) {
            lastFailure = Optional.of(read.getLeft());
            return;
        }
        storeEmpty = read.get().isEmpty();
        lastFailure = Optional.empty();
        read.get().ifPresent(this::install);
        long version = read.get().map(ConfigHead::version).orElse(0L);
        installer.reportStoreContact(sentMillis, version);
        reopenStalledWatch(version);
    }

    /** A version that two reads in a row found and of which the watch has not told proves that the watch is dead. */
    private void reopenStalledWatch(long version) {
        boolean silent = watch != null && lastReadVersion > watchedVersion;
        lastReadVersion = version;
        if (silent) {
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
        HeadListener opening = new HeadListener();
        listener = opening;
        Either<Failure, Watch> opened = repository.watchHead(opening);
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

    boolean isStoreEmpty() {
        return storeEmpty;
    }

    Optional<Failure> lastFailure() {
        return lastFailure;
    }

    /** Hands events of one watch to the lane. */
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
            // Progress has no bound on its age, so it is no proof of contact; reads of the head are.
        }

        @Override
        public void onEnd(Failure failure) {
            executor.accept(() -> clearEndedWatch(this));
        }
    }

    /** Forgets a watch that ended, unless another one took its place. */
    private void clearEndedWatch(HeadListener ended) {
        if (listener == ended) {
            watch = null;
            watching = false;
        }
    }
}
