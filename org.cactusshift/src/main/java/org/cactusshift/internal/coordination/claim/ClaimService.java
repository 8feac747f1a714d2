package org.cactusshift.internal.coordination.claim;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.IntStream;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.DaemonThreads;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.DutyId;
import org.cactusshift.messages.ClaimRequest;
import org.cactusshift.messages.ClaimResponse;
import org.cactusshift.messages.RecordOutcomeRequest;
import org.cactusshift.messages.RecordOutcomeResponse;
import org.cactusshift.messages.RecordedOutcome;
import org.cactusshift.messages.Sender;

/**
 * Sends claims to the holders of the claim shards, and serves the shards that this node holds.
 *
 * <p>An attempt may send its claim more than once, to a holder or to its successor: the log contains the attempt id, so
 * that the same attempt is granted again and another one is not. An attempt that receives {@link
 * ClaimResult.Verdict#UNAVAILABLE} is given up and its call never sent. Since its claim may nevertheless have been
 * written, it is withdrawn. A claim is resolved by the outcome of its call or by its withdrawal; the resolution is sent
 * to the holder repeatedly until it is durable.
 */
public final class ClaimService implements ClaimRegistry, AutoCloseable {
    private static final System.Logger LOG = System.getLogger(ClaimService.class.getName());
    /** The maximum time for which a claim waits to become durable, both at its sender and at the holder. */
    private static final long CLAIM_TIMEOUT_MILLIS = 2_000;
    /** The delay before a claim or the unconfirmed resolutions are sent again. */
    private static final long RETRY_DELAY_MILLIS = 50;
    /** The interval at which each shard is checked for a change of its holder and for waiting entries. */
    private static final long TICK_MILLIS = 100;
    /**
     * The minimum time between two writes of one shard; entries that arrive meanwhile are batched into the next write.
     */
    private static final long COMMIT_INTERVAL_MILLIS = 50;

    /** The last write time of a shard without a write; half of the minimum, so that differences don't overflow. */
    private static final long NEVER_WRITTEN_MILLIS = Long.MIN_VALUE / 2;
    /** The maximum wait for the confirmation of a resolution, or of a request with resolutions. */
    private static final long RESOLUTION_TIMEOUT_MILLIS = 1_000;
    /** The maximum time for which {@link #close} waits for the confirmation of the remaining resolutions. */
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

    private final ClaimServiceDependencies dependencies;
    private final List<ClaimShard> shards;
    private final List<ClaimResolutions> resolutionsByShard;
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("claim-timer"));
    private final ExecutorService commitExecutor;
    private final ExecutorService resolutionSender =
            Executors.newSingleThreadExecutor(DaemonThreads.named("claim-settler"));
    private final Set<Integer> shardsWithScheduledCommit = ConcurrentHashMap.newKeySet();

    /** When the last commit that had entries to write began, by shard. */
    private final AtomicLongArray lastWriteMillis;

    private ClaimService(ClaimServiceDependencies dependencies, int maximumBatchEntries) {
        this.dependencies = dependencies;
        this.shards = IntStream.range(0, dependencies.shardCount())
                .mapToObj(shard -> new ClaimShard(dependencies, shard, maximumBatchEntries))
                .toList();
        this.resolutionsByShard = IntStream.range(0, dependencies.shardCount())
                .mapToObj(shard -> new ClaimResolutions())
                .toList();
        this.lastWriteMillis = new AtomicLongArray(dependencies.shardCount());
        IntStream.range(0, dependencies.shardCount())
                .forEach(shard -> lastWriteMillis.set(shard, NEVER_WRITTEN_MILLIS));
        this.commitExecutor =
                Executors.newFixedThreadPool(dependencies.shardCount(), DaemonThreads.named("claim-commit"));
    }

    /**
     * Returns a service that is not started.
     *
     * @param dependencies the collaborators and parameters of the service
     * @return the service
     */
    public static ClaimService create(ClaimServiceDependencies dependencies) {
        return new ClaimService(dependencies, ClaimQueue.MAXIMUM_BATCH_ENTRIES);
    }

    /** Returns a service with the given limit of entries per write. */
    static ClaimService create(ClaimServiceDependencies dependencies, int maximumBatchEntries) {
        return new ClaimService(dependencies, maximumBatchEntries);
    }

    /** Starts to take over shards and to send claim resolutions. */
    public void start() {
        timer.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
        resolutionSender.execute(this::sendResolutionsUntilStopped);
    }

    @Override
    public ClaimResult claim(CallClaim claim, long nowMillis, long deadlineMillis) {
        ClaimKey key = ClaimKey.of(claim);
        int shard = key.shard(dependencies.shardCount());
        long endMillis = Math.min(deadlineMillis, nowMillis + CLAIM_TIMEOUT_MILLIS);
        boolean mayBeDurable = false;
        long remainingMillis = endMillis - nowMillis;
        while (remainingMillis > 0) {
            Optional<DutyHolder> holder = dependencies.directory().holder(DutyId.claim(shard));
            if (holder.isPresent()) {
                mayBeDurable = true;
                HolderResponse response = sendClaim(holder.get(), claim, key, remainingMillis);
                if (response.kind() == HolderResponse.Kind.UNAVAILABLE) {
                    break;
                }
                if (response.kind() != HolderResponse.Kind.NOT_OWNER) {
                    return resultOf(response);
                }
            }
            if (!sleep(RETRY_DELAY_MILLIS)) {
                break;
            }
            remainingMillis = endMillis - dependencies.clockMillis().getAsLong();
        }
        if (mayBeDurable) {
            withdraw(claim, nowMillis);
        }
        return ClaimResult.of(ClaimResult.Verdict.UNAVAILABLE);
    }

    private static ClaimResult resultOf(HolderResponse response) {
        return switch (response.kind()) {
            case GRANTED -> ClaimResult.of(ClaimResult.Verdict.GRANTED);
            case REPEATED ->
                response.outcome().filter(CallOutcome::known).isPresent()
                        ? new ClaimResult(ClaimResult.Verdict.REPEATED, response.outcome())
                        : ClaimResult.of(ClaimResult.Verdict.OPEN);
            case OPEN -> ClaimResult.of(ClaimResult.Verdict.OPEN);
            case BODY_MISMATCH -> ClaimResult.of(ClaimResult.Verdict.BODY_MISMATCH);
            default -> ClaimResult.of(ClaimResult.Verdict.UNAVAILABLE);
        };
    }

    /**
     * Sends a claim to the holder. A missing response counts as {@link HolderResponse.Kind#NOT_OWNER}, so that the
     * claim is sent again, to a successor if there is one.
     */
    private HolderResponse sendClaim(DutyHolder holder, CallClaim claim, ClaimKey key, long timeoutMillis) {
        if (isSelf(holder)) {
            CompletableFuture<HolderResponse> response =
                    submit(key, claim.bodyDigestHex(), claim.attempt().value());
            return await(response, timeoutMillis);
        }
        ClaimRequest request = ClaimRequest.newBuilder()
                .setSender(sender())
                .addClaims(ClaimMessages.toMessage(claim))
                .build();
        Either<Failure, ClaimResponse> response = dependencies.peers().claim(holder, request, timeoutMillis);
        if (response.isLeft() || response.get().getResultsCount() != 1) {
            return HolderResponse.of(HolderResponse.Kind.NOT_OWNER);
        }
        return ClaimMessages.fromMessage(response.get().getResults(0));
    }

    @Override
    public void recordOutcome(CallClaim claim, CallOutcome outcome, long nowMillis) {
        enqueueResolution(claim, Optional.of(outcome));
    }

    @Override
    public void withdraw(CallClaim claim, long nowMillis) {
        enqueueResolution(claim, Optional.empty());
    }

    private void enqueueResolution(CallClaim claim, Optional<CallOutcome> outcome) {
        int shard = ClaimKey.of(claim).shard(dependencies.shardCount());
        resolutionsByShard.get(shard).add(ClaimMessages.toResolution(claim, outcome));
    }

    /**
     * Processes claims of other nodes as the holder of their shards. Blocks until all are durable or rejected, at most
     * for 2 s.
     *
     * @param request the claims
     * @return a result for each claim, in order
     */
    public ClaimResponse claim(ClaimRequest request) {
        List<CompletableFuture<HolderResponse>> responses = new ArrayList<>();
        for (org.cactusshift.messages.CallClaim claim : request.getClaimsList()) {
            String bodyDigest = HexFormat.of().formatHex(claim.getBodyDigest().toByteArray());
            responses.add(submit(ClaimMessages.keyOf(claim), bodyDigest, claim.getAttemptId()));
        }
        ClaimResponse.Builder message = ClaimResponse.newBuilder();
        long endMillis = dependencies.clockMillis().getAsLong() + CLAIM_TIMEOUT_MILLIS;
        for (CompletableFuture<HolderResponse> response : responses) {
            long remainingMillis =
                    Math.max(0, endMillis - dependencies.clockMillis().getAsLong());
            message.addResults(ClaimMessages.toMessage(await(response, remainingMillis)));
        }
        return message.build();
    }

    /**
     * Processes claim resolutions of other nodes as the holder of their shards. Blocks until they are durable or one
     * can't be made durable, at most for 1 s per resolution.
     *
     * @param request the resolutions: outcomes, or withdrawals, which have no outcome
     * @return the number of resolutions, from the first one on, that are durable
     */
    public RecordOutcomeResponse applyResolutions(RecordOutcomeRequest request) {
        return RecordOutcomeResponse.newBuilder()
                .setRecorded(applyResolutions(request.getOutcomesList()))
                .build();
    }

    /** Returns whether no claim resolution of this node waits for confirmation. */
    boolean areResolutionsDurable() {
        return resolutionsByShard.stream().allMatch(ClaimResolutions::isEmpty);
    }

    /** Sends the remaining claim resolutions, for a limited time, and stops. */
    @Override
    public void close() {
        long endMillis = dependencies.clockMillis().getAsLong() + SHUTDOWN_TIMEOUT_MILLIS;
        while (!areResolutionsDurable()
                && dependencies.clockMillis().getAsLong() < endMillis
                && sleep(RETRY_DELAY_MILLIS)) {
            LOG.log(System.Logger.Level.DEBUG, "waiting for claim resolutions to become durable before shutdown");
        }
        timer.shutdownNow();
        resolutionSender.shutdownNow();
        commitExecutor.shutdownNow();
    }

    private int applyResolutions(List<RecordedOutcome> batch) {
        List<CompletableFuture<HolderResponse>> responses = new ArrayList<>();
        for (RecordedOutcome resolution : batch) {
            responses.add(applyResolution(resolution));
        }
        int resolved = 0;
        for (CompletableFuture<HolderResponse> response : responses) {
            if (await(response, RESOLUTION_TIMEOUT_MILLIS).kind() != HolderResponse.Kind.GRANTED) {
                break;
            }
            resolved++;
        }
        return resolved;
    }

    private CompletableFuture<HolderResponse> applyResolution(RecordedOutcome resolution) {
        ClaimKey key = ClaimMessages.keyOf(resolution);
        int shard = key.shard(dependencies.shardCount());
        CompletableFuture<HolderResponse> response = resolution.hasOutcome()
                ? shards.get(shard)
                        .recordOutcome(
                                key, resolution.getAttemptId(), ClaimMessages.fromMessage(resolution.getOutcome()))
                : shards.get(shard).withdraw(key, resolution.getAttemptId());
        scheduleCommit(shard);
        return response;
    }

    private CompletableFuture<HolderResponse> submit(ClaimKey key, String bodyDigest, String attempt) {
        int shard = key.shard(dependencies.shardCount());
        CompletableFuture<HolderResponse> response = shards.get(shard).submit(key, bodyDigest, attempt);
        if (!response.isDone()) {
            scheduleCommit(shard);
        }
        return response;
    }

    private void tick() {
        for (int shard = 0; shard < shards.size(); shard++) {
            scheduleCommit(shard);
        }
    }

    private void scheduleCommit(int shard) {
        if (!shardsWithScheduledCommit.add(shard)) {
            return;
        }
        long waitMillis = lastWriteMillis.get(shard)
                + COMMIT_INTERVAL_MILLIS
                - dependencies.clockMillis().getAsLong();
        try {
            if (waitMillis > 0) {
                timer.schedule(() -> startCommit(shard), waitMillis, TimeUnit.MILLISECONDS);
            } else {
                startCommit(shard);
            }
        } catch (RejectedExecutionException e) {
            LOG.log(System.Logger.Level.DEBUG, "claim commit rejected because the service is shut down", e);
        }
    }

    private void startCommit(int shard) {
        commitExecutor.execute(() -> commit(shard));
    }

    private void commit(int shard) {
        // Removed before the commit, so that an entry that arrives during the commit schedules the next one.
        shardsWithScheduledCommit.remove(shard);
        if (shards.get(shard).needsWrite()) {
            lastWriteMillis.set(shard, dependencies.clockMillis().getAsLong());
        }
        try {
            shards.get(shard).commit();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "claim commit failed; the next commit follows on the timer", e);
        }
    }

    private void sendResolutionsUntilStopped() {
        while (sleep(RETRY_DELAY_MILLIS)) {
            for (int shard = 0; shard < resolutionsByShard.size(); shard++) {
                try {
                    sendResolutions(shard);
                } catch (RuntimeException e) {
                    LOG.log(System.Logger.Level.ERROR, "sending claim resolutions failed; they are sent again", e);
                }
            }
        }
    }

    private void sendResolutions(int shard) {
        List<RecordedOutcome> batch = resolutionsByShard.get(shard).peekBatch();
        Optional<DutyHolder> holder = dependencies.directory().holder(DutyId.claim(shard));
        if (batch.isEmpty() || holder.isEmpty()) {
            return;
        }
        int resolved = isSelf(holder.get()) ? applyResolutions(batch) : sendToHolder(holder.get(), batch);
        resolutionsByShard.get(shard).onDurable(batch.subList(0, Math.min(resolved, batch.size())));
    }

    private int sendToHolder(DutyHolder holder, List<RecordedOutcome> batch) {
        RecordOutcomeRequest request = RecordOutcomeRequest.newBuilder()
                .setSender(sender())
                .addAllOutcomes(batch)
                .build();
        return dependencies
                .peers()
                .sendResolutions(holder, request, RESOLUTION_TIMEOUT_MILLIS)
                .map(RecordOutcomeResponse::getRecorded)
                .getOrElse(0);
    }

    private boolean isSelf(DutyHolder holder) {
        return holder.incarnation().equals(dependencies.self().incarnation());
    }

    private Sender sender() {
        return Sender.newBuilder()
                .setInstanceId(dependencies.self().instance().value())
                .setIncarnationId(dependencies.self().incarnation().value())
                .setPeerAddress(dependencies.self().peerAddress())
                .build();
    }

    private static HolderResponse await(CompletableFuture<HolderResponse> response, long timeoutMillis) {
        try {
            return response.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return HolderResponse.of(HolderResponse.Kind.UNAVAILABLE);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a claim response completed exceptionally", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return HolderResponse.of(HolderResponse.Kind.UNAVAILABLE);
        }
    }

    private static boolean sleep(long millis) {
        try {
            Thread.sleep(millis);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
