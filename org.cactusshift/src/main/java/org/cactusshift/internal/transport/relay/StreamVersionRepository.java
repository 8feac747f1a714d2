package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SoftwareVersion;
import org.cactusshift.internal.coordination.serving.StreamVersionPlanner;
import org.cactusshift.internal.coordination.serving.StreamVersions;
import org.cactusshift.internal.coordination.store.AsyncKeyValueStore;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.StorePosition;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;

/**
 * Keeps the record of {@link StreamVersions} in the store, and reads it for streams whose origin no node tells. To be
 * used on the event loop only.
 *
 * <p>The record is read after the request that takes the stream up has arrived. A stream begins only at a version that
 * was recorded before, so the read shows that version, however old this node's own view is.
 */
final class StreamVersionRepository {
    private final String key;
    private final AsyncKeyValueStore store;
    private final SiteStateFollower follower;
    private final EventLog log;
    private final StreamVersionPlanner planner = StreamVersionPlanner.create();
    private final List<Consumer<Optional<StreamVersions>>> waitingReceivers = new ArrayList<>();
    private boolean readPending;
    private boolean writePending;

    private StreamVersionRepository(String key, AsyncKeyValueStore store, SiteStateFollower follower, EventLog log) {
        this.key = key;
        this.store = store;
        this.follower = follower;
        this.log = log;
    }

    /**
     * Returns a repository that knows no record yet.
     *
     * @param key the key of the record
     * @param store the store
     * @param follower provides the record as this node last read it
     * @param log records what is written
     */
    static StreamVersionRepository create(
            String key, AsyncKeyValueStore store, SiteStateFollower follower, EventLog log) {
        return new StreamVersionRepository(key, store, follower, log);
    }

    /**
     * Writes the record if it has to change.
     *
     * @param listed the versions that upstreams have, by service
     * @param retires whether this node retires versions that no upstream has
     * @param nowMillis the current monotonic time, in milliseconds
     */
    void update(Map<ServiceId, Set<SoftwareVersion>> listed, boolean retires, long nowMillis) {
        if (!follower.isReady() || !follower.hasReadCurrentEra()) {
            return;
        }
        Optional.ofNullable(follower.nodeValueByKey().get(key))
                .ifPresentOrElse(
                        this::onRead, () -> planner.onAbsent(store.era().current()));
        if (writePending) {
            return;
        }
        planner.next(listed, retires, nowMillis).ifPresent(this::write);
    }

    /** Returns whether a stream may begin at a version, by the newest record that this node knows. */
    boolean mayBegin(ServiceId service, SoftwareVersion version) {
        return planner.recorded().mayBegin(service, version);
    }

    /**
     * Finds the only version at which a stream that was begun before this call can have begun.
     *
     * @param service the service
     * @param receiver is called once, with empty when there may be several or the store cannot be read
     */
    void findSole(ServiceId service, Consumer<Optional<SoftwareVersion>> receiver) {
        if (follower.isStoreUnavailable()) {
            receiver.accept(Optional.empty());
            return;
        }
        waitingReceivers.add(versions -> receiver.accept(versions.flatMap(recorded -> recorded.sole(service))));
        if (!readPending) {
            readForWaiting();
        }
    }

    /** Reads once for all that wait; those that come meanwhile wait for the next read, which starts after them. */
    private void readForWaiting() {
        List<Consumer<Optional<StreamVersions>>> receivers = List.copyOf(waitingReceivers);
        waitingReceivers.clear();
        readPending = true;
        store.get(key, read -> {
            readPending = false;
            Optional<StreamVersions> versions = read.isRight() ? read.get().flatMap(this::onRead) : Optional.empty();
            if (read.isLeft()) {
                log.event("streamVersions.readFailed")
                        .with("failure", read.getLeft().toString())
                        .write();
            }
            receivers.forEach(receiver -> receiver.accept(versions));
            if (!readPending && !waitingReceivers.isEmpty()) {
                readForWaiting();
            }
        });
    }

    /** Takes over a record that was read; returns it, empty when it is malformed. */
    private Optional<StreamVersions> onRead(VersionedValue value) {
        Optional<StreamVersions> versions = StreamVersionsCodec.decode(value.value());
        // A malformed record counts as one without versions, which is written again.
        planner.onRecorded(versions.orElse(StreamVersions.NONE), position(value.modRevision()));
        return versions.map(planner::withCarried);
    }

    private StorePosition position(long revision) {
        return new StorePosition(store.era().current(), revision);
    }

    private void write(StreamVersions next) {
        writePending = true;
        AsyncKeyValueStore.Write write = new AsyncKeyValueStore.Write(
                key, planner.position().revision(), StreamVersionsCodec.encode(next), LeaseGrant.NONE, List.of());
        store.compareAndSwap(write, swap -> onWritten(next, swap));
    }

    private void onWritten(StreamVersions next, Either<Failure, SwapResult> swap) {
        writePending = false;
        if (swap.isLeft()) {
            // The next read shows whether the write took effect.
            log.event("streamVersions.writeFailed")
                    .with("failure", swap.getLeft().toString())
                    .write();
            return;
        }
        if (swap.get().isApplied()) {
            planner.onRecorded(next, position(swap.get().revision()));
        } else {
            swap.get().current().ifPresent(this::onRead);
        }
        log.event("streamVersions.recorded")
                .with("applied", swap.get().isApplied())
                .with("revision", planner.position().revision())
                .with("versions", planner.recorded().usesByService())
                .write();
    }
}
