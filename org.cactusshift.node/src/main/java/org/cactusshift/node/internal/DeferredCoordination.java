package org.cactusshift.node.internal;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.cactusshift.config.TimingConfig;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.claim.CallClaim;
import org.cactusshift.internal.coordination.claim.CallOutcome;
import org.cactusshift.internal.coordination.claim.ClaimRegistry;
import org.cactusshift.internal.coordination.claim.ClaimResult;
import org.cactusshift.internal.coordination.usage.UsageRecord;
import org.cactusshift.internal.coordination.usage.UsageRecorder;
import org.cactusshift.messages.ClaimRequest;
import org.cactusshift.messages.ClaimResponse;
import org.cactusshift.messages.RecordOutcomeRequest;
import org.cactusshift.messages.RecordOutcomeResponse;
import org.cactusshift.messages.UsageAck;
import org.cactusshift.messages.UsageBatch;

/**
 * Creates and starts the coordination services with the first configuration of a node, which sets their periods.
 *
 * <p>Until then claims are unavailable and the node holds no duty; it serves no request either. Thread-safe.
 */
final class DeferredCoordination implements ClaimRegistry, UsageRecorder, AutoCloseable {
    private final Function<TimingConfig, CoordinationServices> factory;
    private volatile CoordinationServices coordination;
    private Collection<InstanceId> liveNodes = List.of();
    private boolean closed;

    DeferredCoordination(Function<TimingConfig, CoordinationServices> factory) {
        this.factory = factory;
    }

    /** Creates and starts the services on the first call; later calls have no effect. */
    synchronized void start(TimingConfig timing) {
        if (coordination == null && !closed) {
            CoordinationServices created = factory.apply(timing);
            created.duties().setLiveNodes(liveNodes);
            created.start();
            coordination = created;
        }
    }

    /** Sets the live nodes (this one too, unless it is leaving), among which the candidates of each duty are ranked. */
    synchronized void setLiveNodes(Collection<InstanceId> nodes) {
        liveNodes = List.copyOf(nodes);
        if (coordination != null) {
            coordination.duties().setLiveNodes(liveNodes);
        }
    }

    List<String> heldDuties() {
        return coordination().stream()
                .flatMap(services -> services.duties().heldDuties().stream())
                .map(Object::toString)
                .sorted()
                .toList();
    }

    private Optional<CoordinationServices> coordination() {
        return Optional.ofNullable(coordination);
    }

    @Override
    public ClaimResult claim(CallClaim claim, long nowMillis, long deadlineMillis) {
        return coordination()
                .map(services -> services.claims().claim(claim, nowMillis, deadlineMillis))
                .orElseGet(() -> ClaimResult.of(ClaimResult.Verdict.UNAVAILABLE));
    }

    @Override
    public void recordOutcome(CallClaim claim, CallOutcome outcome, long nowMillis) {
        coordination().ifPresent(services -> services.claims().recordOutcome(claim, outcome, nowMillis));
    }

    @Override
    public void withdraw(CallClaim claim, long nowMillis) {
        coordination().ifPresent(services -> services.claims().withdraw(claim, nowMillis));
    }

    @Override
    public void record(UsageRecord usage, long epochMillis) {
        coordination()
                .orElseThrow(() -> new IllegalStateException("usage recorded before the first configuration"))
                .usage()
                .record(usage, epochMillis);
    }

    ClaimResponse claim(ClaimRequest request) {
        return coordination()
                .map(services -> services.claims().claim(request))
                .orElseThrow(() -> new IllegalArgumentException("the node has no configuration"));
    }

    RecordOutcomeResponse applyResolutions(RecordOutcomeRequest request) {
        return coordination()
                .map(services -> services.claims().applyResolutions(request))
                .orElseThrow(() -> new IllegalArgumentException("the node has no configuration"));
    }

    /**
     * Takes over usage counts from a peer; not accepted before the first configuration, so that the peer keeps them.
     */
    UsageAck acceptBatch(UsageBatch batch) {
        return coordination()
                .map(services -> services.usage().acceptBatch(batch))
                .orElseGet(UsageAck::getDefaultInstance);
    }

    /** Closes the services; see {@link CoordinationServices#close()}. A later start has no effect. */
    @Override
    public synchronized void close() {
        closed = true;
        if (coordination != null) {
            coordination.close();
        }
    }
}
