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
 * Claims calls at the owners of the claim shards, and owns the shards that this node holds.
 *
 * <p>An attempt may ask more than once, of one owner or of its successor: the log holds the attempt, so that the same
 * attempt is granted again and another one is not. A caller that is told {@link ClaimResult.Verdict#UNAVAILABLE} will
 * never be granted for that attempt, because the attempt ends with that answer; in case its claim was written after
 * all, it is withdrawn at the owner, again and again until that is durable.
 */
public final class ClaimService implements ClaimRegistry, AutoCloseable {
    private static final System.Logger LOG = System.getLogger(ClaimService.class.getName());
    private static final long PATIENCE_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 50;
    private static final long TICK_MILLIS = 100;
    /** The least time between two writes of one shard; claims that come meanwhile go into the next write together. */
    private static final long COMMIT_SPACING_MILLIS = 50;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;
    private static final long SETTLE_TIMEOUT_MILLIS = 1_000;
    private static final long STOP_MILLIS = 2_000;

    private final ClaimServiceDependencies setup;
    private final List<ClaimShard> shards;
    private final List<ClaimResolutions> settlements;
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("claim-timer"));
    private final ExecutorService commits;
    private final ExecutorService settlers = Executors.newSingleThreadExecutor(DaemonThreads.named("claim-settler"));
    private final Set<Integer> committing = ConcurrentHashMap.newKeySet();
    private final AtomicLongArray lastCommitMillis;

    private ClaimService(ClaimServiceDependencies setup, int maximumBatchLines) {
        this.setup = setup;
        this.shards = IntStream.range(0, setup.shardCount())
                .mapToObj(shard -> new ClaimShard(setup, shard, maximumBatchLines))
                .toList();
        this.settlements = IntStream.range(0, setup.shardCount())
                .mapToObj(shard -> new ClaimResolutions())
                .toList();
        this.lastCommitMillis = new AtomicLongArray(setup.shardCount());
        IntStream.range(0, setup.shardCount()).forEach(shard -> lastCommitMillis.set(shard, NEVER_MILLIS));
        this.commits = Executors.newFixedThreadPool(setup.shardCount(), DaemonThreads.named("claim-commit"));
    }

    /**
     * Returns a service that is not started.
     *
     * @param setup what it works with
     * @return the service
     */
    public static ClaimService create(ClaimServiceDependencies setup) {
        return new ClaimService(setup, ClaimQueue.MAXIMUM_BATCH_LINES);
    }

    /** Returns a service that writes fewer claims at once, to compare with. */
    static ClaimService create(ClaimServiceDependencies setup, int maximumBatchLines) {
        return new ClaimService(setup, maximumBatchLines);
    }

    /** Starts to own shards and to settle claims. */
    public void start() {
        timer.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
        settlers.execute(this::settleUntilStopped);
    }

    @Override
    public ClaimResult claim(CallClaim claim, long nowMillis, long deadlineMillis) {
        ClaimKey key = ClaimKey.of(claim);
        int shard = key.shard(setup.shardCount());
        long endMillis = Math.min(deadlineMillis, nowMillis + PATIENCE_MILLIS);
        boolean mayBeWritten = false;
        long leftMillis = endMillis - nowMillis;
        while (leftMillis > 0) {
            Optional<DutyHolder> owner = setup.directory().holder(DutyId.claim(shard));
            if (owner.isPresent()) {
                mayBeWritten = true;
                OwnerResponse answer = ask(owner.get(), claim, key, leftMillis);
                if (answer.kind() == OwnerResponse.Kind.UNAVAILABLE) {
                    break;
                }
                if (answer.kind() != OwnerResponse.Kind.NOT_OWNER) {
                    return resultOf(answer);
                }
            }
            if (!sleep(RETRY_MILLIS)) {
                break;
            }
            leftMillis = endMillis - setup.clockMillis().getAsLong();
        }
        if (mayBeWritten) {
            withdraw(claim, nowMillis);
        }
        return ClaimResult.of(ClaimResult.Verdict.UNAVAILABLE);
    }

    private static ClaimResult resultOf(OwnerResponse answer) {
        return switch (answer.kind()) {
            case GRANTED -> ClaimResult.of(ClaimResult.Verdict.GRANTED);
            case REPEATED ->
                answer.outcome().filter(CallOutcome::known).isPresent()
                        ? new ClaimResult(ClaimResult.Verdict.REPEATED, answer.outcome())
                        : ClaimResult.of(ClaimResult.Verdict.OPEN);
            case OPEN -> ClaimResult.of(ClaimResult.Verdict.OPEN);
            case BODY_MISMATCH -> ClaimResult.of(ClaimResult.Verdict.BODY_MISMATCH);
            default -> ClaimResult.of(ClaimResult.Verdict.UNAVAILABLE);
        };
    }

    /** Asks the owner; an answer that does not come counts as one that may come from its successor. */
    private OwnerResponse ask(DutyHolder owner, CallClaim claim, ClaimKey key, long timeoutMillis) {
        if (isSelf(owner)) {
            CompletableFuture<OwnerResponse> answer =
                    submit(key, claim.bodyDigestHex(), claim.attempt().value());
            return await(answer, timeoutMillis);
        }
        ClaimRequest request = ClaimRequest.newBuilder()
                .setSender(sender())
                .addClaims(ClaimMessages.toMessage(claim))
                .build();
        Either<Failure, ClaimResponse> response = setup.peers().claim(owner, request, timeoutMillis);
        if (response.isLeft() || response.get().getResultsCount() != 1) {
            return OwnerResponse.of(OwnerResponse.Kind.NOT_OWNER);
        }
        return ClaimMessages.fromMessage(response.get().getResults(0));
    }

    @Override
    public void recordOutcome(CallClaim claim, CallOutcome outcome, long nowMillis) {
        settlement(claim, Optional.of(outcome));
    }

    @Override
    public void withdraw(CallClaim claim, long nowMillis) {
        settlement(claim, Optional.empty());
    }

    private void settlement(CallClaim claim, Optional<CallOutcome> outcome) {
        int shard = ClaimKey.of(claim).shard(setup.shardCount());
        settlements.get(shard).add(ClaimMessages.toResolution(claim, outcome));
    }

    /**
     * Answers claims of other nodes, as the owner of their shards.
     *
     * @param request the claims
     * @return a result for each claim, in order
     */
    public ClaimResponse claim(ClaimRequest request) {
        List<CompletableFuture<OwnerResponse>> answers = new ArrayList<>();
        for (org.cactusshift.messages.CallClaim claim : request.getClaimsList()) {
            String bodyDigest = HexFormat.of().formatHex(claim.getBodyDigest().toByteArray());
            answers.add(submit(ClaimMessages.keyOf(claim), bodyDigest, claim.getAttemptId()));
        }
        ClaimResponse.Builder response = ClaimResponse.newBuilder();
        long endMillis = setup.clockMillis().getAsLong() + PATIENCE_MILLIS;
        for (CompletableFuture<OwnerResponse> answer : answers) {
            long leftMillis = Math.max(0, endMillis - setup.clockMillis().getAsLong());
            response.addResults(ClaimMessages.toMessage(await(answer, leftMillis)));
        }
        return response.build();
    }

    /**
     * Settles claims of other nodes, as the owner of their shards.
     *
     * @param request outcomes, and withdrawals as settlements without outcome
     * @return how many of the first settlements are durable
     */
    public RecordOutcomeResponse recordOutcome(RecordOutcomeRequest request) {
        return RecordOutcomeResponse.newBuilder()
                .setRecorded(settle(request.getOutcomesList()))
                .build();
    }

    /** Tells whether all outcomes and withdrawals of this node are durable. */
    boolean areResolutionsDurable() {
        return settlements.stream().allMatch(ClaimResolutions::isEmpty);
    }

    /** Settles what is left, within a bounded time, and stops. */
    @Override
    public void close() {
        long endMillis = setup.clockMillis().getAsLong() + STOP_MILLIS;
        while (!areResolutionsDurable() && setup.clockMillis().getAsLong() < endMillis && sleep(RETRY_MILLIS)) {
            LOG.log(System.Logger.Level.DEBUG, "waiting for outcomes to become durable");
        }
        timer.shutdownNow();
        settlers.shutdownNow();
        commits.shutdownNow();
    }

    private int settle(List<RecordedOutcome> batch) {
        List<CompletableFuture<OwnerResponse>> answers = new ArrayList<>();
        for (RecordedOutcome settlement : batch) {
            answers.add(settle(settlement));
        }
        int settled = 0;
        for (CompletableFuture<OwnerResponse> answer : answers) {
            if (await(answer, SETTLE_TIMEOUT_MILLIS).kind() != OwnerResponse.Kind.GRANTED) {
                break;
            }
            settled++;
        }
        return settled;
    }

    private CompletableFuture<OwnerResponse> settle(RecordedOutcome settlement) {
        ClaimKey key = ClaimMessages.keyOf(settlement);
        int shard = key.shard(setup.shardCount());
        CompletableFuture<OwnerResponse> answer = settlement.hasOutcome()
                ? shards.get(shard)
                        .record(key, settlement.getAttemptId(), ClaimMessages.fromMessage(settlement.getOutcome()))
                : shards.get(shard).withdraw(key, settlement.getAttemptId());
        scheduleCommit(shard);
        return answer;
    }

    private CompletableFuture<OwnerResponse> submit(ClaimKey key, String bodyDigest, String attempt) {
        int shard = key.shard(setup.shardCount());
        CompletableFuture<OwnerResponse> answer = shards.get(shard).submit(key, bodyDigest, attempt);
        if (!answer.isDone()) {
            scheduleCommit(shard);
        }
        return answer;
    }

    private void tick() {
        for (int shard = 0; shard < shards.size(); shard++) {
            scheduleCommit(shard);
        }
    }

    private void scheduleCommit(int shard) {
        if (!committing.add(shard)) {
            return;
        }
        long waitMillis = lastCommitMillis.get(shard)
                + COMMIT_SPACING_MILLIS
                - setup.clockMillis().getAsLong();
        try {
            if (waitMillis > 0) {
                timer.schedule(() -> startCommit(shard), waitMillis, TimeUnit.MILLISECONDS);
            } else {
                startCommit(shard);
            }
        } catch (RejectedExecutionException e) {
            LOG.log(System.Logger.Level.DEBUG, "claim commit after shutdown", e);
        }
    }

    private void startCommit(int shard) {
        commits.execute(() -> commit(shard));
    }

    private void commit(int shard) {
        // Removed first: a line that comes during the commit schedules the next one.
        committing.remove(shard);
        if (shards.get(shard).hasWork()) {
            lastCommitMillis.set(shard, setup.clockMillis().getAsLong());
        }
        try {
            shards.get(shard).commit();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "claim commit", e);
        }
    }

    private void settleUntilStopped() {
        while (sleep(RETRY_MILLIS)) {
            for (int shard = 0; shard < settlements.size(); shard++) {
                try {
                    sendSettlements(shard);
                } catch (RuntimeException e) {
                    LOG.log(System.Logger.Level.ERROR, "settle claims", e);
                }
            }
        }
    }

    private void sendSettlements(int shard) {
        List<RecordedOutcome> batch = settlements.get(shard).nextBatch();
        Optional<DutyHolder> owner = setup.directory().holder(DutyId.claim(shard));
        if (batch.isEmpty() || owner.isEmpty()) {
            return;
        }
        int settled = isSelf(owner.get()) ? settle(batch) : settleAt(owner.get(), batch);
        settlements.get(shard).onDurable(batch.subList(0, Math.min(settled, batch.size())));
    }

    private int settleAt(DutyHolder owner, List<RecordedOutcome> batch) {
        RecordOutcomeRequest request = RecordOutcomeRequest.newBuilder()
                .setSender(sender())
                .addAllOutcomes(batch)
                .build();
        return setup.peers()
                .recordOutcome(owner, request, SETTLE_TIMEOUT_MILLIS)
                .map(RecordOutcomeResponse::getRecorded)
                .getOrElse(0);
    }

    private boolean isSelf(DutyHolder owner) {
        return owner.incarnation().equals(setup.self().incarnation());
    }

    private Sender sender() {
        return Sender.newBuilder()
                .setInstanceId(setup.self().instance().value())
                .setIncarnationId(setup.self().incarnation().value())
                .setPeerAddress(setup.self().peerAddress())
                .build();
    }

    private static OwnerResponse await(CompletableFuture<OwnerResponse> answer, long timeoutMillis) {
        try {
            return answer.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return OwnerResponse.of(OwnerResponse.Kind.UNAVAILABLE);
        } catch (ExecutionException e) {
            throw new IllegalStateException("claim answers are never failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return OwnerResponse.of(OwnerResponse.Kind.UNAVAILABLE);
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
