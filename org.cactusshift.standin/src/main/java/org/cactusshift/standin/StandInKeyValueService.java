package org.cactusshift.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.Base64;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.store.KeyChange;
import org.cactusshift.internal.coordination.store.KeyValueState;
import org.cactusshift.internal.coordination.store.LeaseGrant;
import org.cactusshift.internal.coordination.store.RangeResult;
import org.cactusshift.internal.coordination.store.StoreCallKind;
import org.cactusshift.internal.coordination.store.SwapResult;
import org.cactusshift.internal.coordination.store.VersionedValue;
import org.cactusshift.internal.protocol.etcd.EtcdEncoding;

/**
 * Stand-in for the key-value store: the subset of the etcd v3 JSON API that {@code EtcdKeyValueStore} uses.
 *
 * <p>The stored values survive {@link #crash()} and {@link #start()}. No lease expires while the service is stopped or
 * unavailable; afterwards each lease runs for its full time to live again, as after the election of a new leader.
 */
public final class StandInKeyValueService implements StandIn, StandInHandler {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int HISTORY_LIMIT_CHANGES = 100_000;

    private static final long EXPIRY_INTERVAL_MILLIS = 20;

    private static final long MILLIS_PER_SECOND = 1000;

    private static final int GRPC_INVALID_ARGUMENT = 3;

    private static final int GRPC_NOT_FOUND = 5;

    private static final int GRPC_RESOURCE_EXHAUSTED = 8;

    private static final int GRPC_UNAVAILABLE = 14;

    private final KeyValueSettings settings;

    private final StandInServer server;

    /** Guards the state and is notified of each change. */
    private final Object lock = new Object();

    private final KeyValueState state = KeyValueState.create(HISTORY_LIMIT_CHANGES);

    private final Map<StoreCallKind, LongAdder> callCountByKind = new EnumMap<>(StoreCallKind.class);

    private final TokenBucket writeLimit;

    private final TokenBucket readLimit;

    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("stand-in-key-value-timer"));

    /** Whether the stand-in has not been started yet or was stopped by a crash. */
    private volatile boolean stopped = true;

    private int writesToApplyLate;

    private long lateWriteDelayMillis;

    private StandInKeyValueService(KeyValueSettings settings) {
        this.settings = settings;
        this.server = StandInServer.create(settings.port(), this);
        this.writeLimit = new TokenBucket(settings.writesPerSecond(), System.nanoTime());
        this.readLimit = new TokenBucket(settings.readsPerSecond(), System.nanoTime());
        for (StoreCallKind kind : StoreCallKind.values()) {
            callCountByKind.put(kind, new LongAdder());
        }
        timer.scheduleWithFixedDelay(
                this::expireLeases, EXPIRY_INTERVAL_MILLIS, EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Creates the stand-in, which listens once it is started.
     *
     * @param settings the settings
     * @return the stand-in
     */
    public static StandInKeyValueService create(KeyValueSettings settings) {
        return new StandInKeyValueService(settings);
    }

    @Override
    public void start() throws IOException {
        server.start();
        stopped = false;
    }

    @Override
    public String address() {
        return server.address();
    }

    @Override
    public StandInFaults faults() {
        return server.faults();
    }

    @Override
    public ReceivedLog log() {
        return server.log();
    }

    @Override
    public void crash() {
        stopped = true;
        server.crash();
    }

    @Override
    public void close() {
        crash();
        timer.shutdownNow();
    }

    /**
     * Returns the number of calls of a kind that were received, including refused ones.
     *
     * @param kind the kind
     * @return the number of calls since the stand-in was created
     */
    public long callCount(StoreCallKind kind) {
        return callCountByKind.get(kind).sum();
    }

    /**
     * Closes the connections of the next transactions at once and applies the transactions later. Replaces an earlier
     * call.
     *
     * @param count the number of transactions
     * @param delayMillis the delay until they take effect, in milliseconds
     */
    public synchronized void applyNextWritesLate(int count, long delayMillis) {
        writesToApplyLate = count;
        lateWriteDelayMillis = delayMillis;
    }

    /**
     * Returns the stored values with a prefix, for tests.
     *
     * @param prefix the prefix
     * @return the values and their revision
     */
    public RangeResult storedValues(String prefix) {
        synchronized (lock) {
            return state.list(prefix);
        }
    }

    @Override
    public StandInResponse handle(StandInRequest request) throws IOException {
        JsonNode body;
        try {
            body = MAPPER.readTree(request.body());
        } catch (JsonProcessingException e) {
            return StandInResponse.json(
                    StandInResponse.BAD_REQUEST, KeyValueJson.error(GRPC_INVALID_ARGUMENT, "not JSON"));
        }
        Optional<StoreCallKind> kind = kindOf(request.path(), body);
        if (kind.isEmpty()) {
            return StandInResponse.json(StandInResponse.NOT_FOUND, KeyValueJson.error(GRPC_NOT_FOUND, "no such call"));
        }
        callCountByKind.get(kind.get()).increment();
        TokenBucket limit = kind.get().isWrite() ? writeLimit : readLimit;
        if (!limit.tryAcquire(1, System.nanoTime())) {
            return StandInResponse.json(
                    StandInResponse.TOO_MANY_REQUESTS,
                    KeyValueJson.error(GRPC_RESOURCE_EXHAUSTED, "etcdserver: too many requests"));
        }
        return dispatch(kind.get(), body);
    }

    @Override
    public StandInResponse refuse(StandInRequest request) {
        return StandInResponse.json(
                StandInResponse.UNAVAILABLE, KeyValueJson.error(GRPC_UNAVAILABLE, "etcdserver: no leader"));
    }

    /** Returns the kind of a call; a transaction is a swap if it puts a key, otherwise a deletion. */
    private static Optional<StoreCallKind> kindOf(String path, JsonNode body) {
        switch (path) {
            case "/v3/kv/range":
                return Optional.of(body.has("range_end") ? StoreCallKind.LIST : StoreCallKind.GET);
            case "/v3/kv/txn":
                return Optional.of(
                        body.path("success").path(0).has("request_put") ? StoreCallKind.SWAP : StoreCallKind.DELETE);
            case "/v3/lease/grant":
                return Optional.of(StoreCallKind.LEASE_GRANT);
            case "/v3/lease/keepalive":
                return Optional.of(StoreCallKind.LEASE_RENEWAL);
            case "/v3/lease/revoke":
                return Optional.of(StoreCallKind.LEASE_REVOKE);
            case "/v3/watch":
                return Optional.of(StoreCallKind.WATCH);
            default:
                return Optional.empty();
        }
    }

    private StandInResponse dispatch(StoreCallKind kind, JsonNode body) throws IOException {
        switch (kind) {
            case WATCH:
                return watch(body.path("create_request"));
            case SWAP:
            case DELETE:
                applyLateIfRequested(kind, body);
                return apply(kind, body);
            default:
                return apply(kind, body);
        }
    }

    /** Schedules a transaction if it is one to apply late, and then fails so that the connection is closed. */
    private void applyLateIfRequested(StoreCallKind kind, JsonNode body) throws IOException {
        long delayMillis;
        synchronized (this) {
            if (writesToApplyLate == 0) {
                return;
            }
            writesToApplyLate--;
            delayMillis = lateWriteDelayMillis;
        }
        timer.schedule(() -> apply(kind, body), delayMillis, TimeUnit.MILLISECONDS);
        throw new IOException("injected fault: the connection is closed and the write takes effect later");
    }

    private StandInResponse apply(StoreCallKind kind, JsonNode body) {
        synchronized (lock) {
            long nowMillis = nowMillis();
            StandInResponse response = applyLocked(kind, body, nowMillis);
            lock.notifyAll();
            return response;
        }
    }

    private StandInResponse applyLocked(StoreCallKind kind, JsonNode body, long nowMillis) {
        switch (kind) {
            case GET:
                return ok(KeyValueJson.range(
                        read(EtcdEncoding.decodeUtf8(body.path("key").asText()))));
            case LIST:
                return ok(KeyValueJson.range(state.list(prefixOf(body))));
            case LEASE_GRANT:
                long ttlMillis = KeyValueJson.readLong(body, "TTL") * MILLIS_PER_SECOND;
                return ok(KeyValueJson.lease(state.revision(), state.grantLease(ttlMillis, nowMillis)));
            case LEASE_RENEWAL:
                return ok(KeyValueJson.wrapResult(renew(KeyValueJson.readLong(body, "ID"), nowMillis)));
            case LEASE_REVOKE:
                return toResponse(state.revokeLease(KeyValueJson.readLong(body, "ID"))
                        .map(ended -> KeyValueJson.responseWithHeader(state.revision())));
            default:
                return transact(body);
        }
    }

    private RangeResult read(String key) {
        List<VersionedValue> found = state.get(key).stream().toList();
        return new RangeResult(state.revision(), found);
    }

    private ObjectNode renew(long leaseId, long nowMillis) {
        LeaseGrant ended = new LeaseGrant(leaseId, 0);
        LeaseGrant renewed = state.keepAlive(leaseId, nowMillis).getOrElse(ended);
        return KeyValueJson.lease(state.revision(), renewed);
    }

    private StandInResponse transact(JsonNode body) {
        JsonNode compare = body.path("compare").path(0);
        String key = EtcdEncoding.decodeUtf8(compare.path("key").asText());
        long expected = KeyValueJson.readLong(compare, "mod_revision");
        JsonNode put = body.path("success").path(0).path("request_put");
        Either<Failure, SwapResult> result = put.isMissingNode()
                ? Either.right(state.compareAndDelete(key, expected))
                : state.compareAndSwap(
                        key,
                        expected,
                        Base64.getDecoder().decode(put.path("value").asText()),
                        KeyValueJson.readLong(put, "lease"));
        return toResponse(result.map(KeyValueJson::swap));
    }

    private StandInResponse watch(JsonNode create) {
        String prefix = prefixOf(create);
        long from = KeyValueJson.readLong(create, "start_revision");
        synchronized (lock) {
            long next = from == 0 ? state.revision() + 1 : from;
            return StandInResponse.stream("application/json", stream -> streamChanges(stream, prefix, next));
        }
    }

    private void streamChanges(StandInStream stream, String prefix, long from) throws IOException {
        ObjectNode created = KeyValueJson.responseWithHeader(revision()).put("created", true);
        sendLine(stream, KeyValueJson.wrapResult(created));
        long next = from;
        long sentAtMillis = nowMillis();
        while (true) {
            if (stopped || server.faults().isUnavailable()) {
                throw new IOException("the service became unavailable");
            }
            Either<Failure, List<KeyChange>> changes;
            long revision;
            synchronized (lock) {
                awaitChange(next);
                changes = state.changes(prefix, next);
                revision = state.revision();
            }
            if (changes.isLeft()) {
                sendLine(
                        stream,
                        KeyValueJson.wrapResult(
                                KeyValueJson.responseWithHeader(revision).put("canceled", true)));
                return;
            }
            long sinceSentMillis = nowMillis() - sentAtMillis;
            if (!changes.get().isEmpty() || sinceSentMillis >= settings.progressMillis()) {
                sendLine(stream, KeyValueJson.changes(revision, changes.get()));
                sentAtMillis = nowMillis();
            }
            next = Math.max(next, revision + 1);
        }
    }

    private void awaitChange(long next) throws InterruptedIOException {
        if (state.revision() >= next) {
            return;
        }
        try {
            lock.wait(settings.progressMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        }
    }

    private void expireLeases() {
        boolean expirySuspended = stopped || server.faults().isUnavailable();
        synchronized (lock) {
            if (expirySuspended) {
                state.resetLeaseExpiries(nowMillis());
            } else if (state.expireLeases(nowMillis()) > 0) {
                lock.notifyAll();
            }
        }
    }

    private long revision() {
        synchronized (lock) {
            return state.revision();
        }
    }

    private static String prefixOf(JsonNode range) {
        String start = EtcdEncoding.decodeUtf8(range.path("key").asText());
        // The key \0 starts the range of all keys; every other range is one of a prefix.
        return "\0".equals(start) ? "" : start;
    }

    private static void sendLine(StandInStream stream, ObjectNode line) throws IOException {
        stream.send(line + "\n");
    }

    /** Returns a response; the state rejects a call only if its lease does not exist. */
    private static StandInResponse toResponse(Either<Failure, ObjectNode> result) {
        return result.fold(
                failure -> StandInResponse.json(
                        StandInResponse.NOT_FOUND,
                        KeyValueJson.error(GRPC_NOT_FOUND, "etcdserver: requested lease not found")),
                StandInKeyValueService::ok);
    }

    private static StandInResponse ok(ObjectNode body) {
        return StandInResponse.json(StandInResponse.OK, body);
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
