package org.cactusshift.internal.transport.peer;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.function.Supplier;
import org.cactusshift.messages.ClaimRequest;
import org.cactusshift.messages.ClaimResponse;
import org.cactusshift.messages.ConfigVersion;
import org.cactusshift.messages.DrainRequest;
import org.cactusshift.messages.DrainStatus;
import org.cactusshift.messages.FetchConfigRequest;
import org.cactusshift.messages.FetchConfigResponse;
import org.cactusshift.messages.HeartbeatRequest;
import org.cactusshift.messages.HeartbeatResponse;
import org.cactusshift.messages.PeerGrpc;
import org.cactusshift.messages.RecordOutcomeRequest;
import org.cactusshift.messages.RecordOutcomeResponse;
import org.cactusshift.messages.UsageAck;
import org.cactusshift.messages.UsageBatch;
import org.cactusshift.messages.WatchConfigRequest;

/** Maps the gRPC service to {@link PeerRequestHandler}. */
final class PeerGrpcService extends PeerGrpc.PeerImplBase {
    private static final System.Logger LOG = System.getLogger(PeerGrpcService.class.getName());

    private final PeerRequestHandler calls;

    private PeerGrpcService(PeerRequestHandler calls) {
        this.calls = calls;
    }

    static PeerGrpcService create(PeerRequestHandler calls) {
        return new PeerGrpcService(calls);
    }

    @Override
    public void heartbeat(HeartbeatRequest request, StreamObserver<HeartbeatResponse> observer) {
        answer(observer, "heartbeat", () -> calls.heartbeat(request));
    }

    @Override
    public void fetchConfig(FetchConfigRequest request, StreamObserver<FetchConfigResponse> observer) {
        answer(observer, "fetch configuration", () -> calls.fetchConfig(request));
    }

    @Override
    public void watchConfig(WatchConfigRequest request, StreamObserver<ConfigVersion> observer) {
        ServerCallStreamObserver<ConfigVersion> stream = (ServerCallStreamObserver<ConfigVersion>) observer;
        Runnable registration = calls.watchConfig(request, stream::onNext);
        stream.setOnCloseHandler(registration);
        if (stream.isCancelled()) {
            registration.run();
            return;
        }
        stream.setOnCancelHandler(registration);
    }

    @Override
    public void claim(ClaimRequest request, StreamObserver<ClaimResponse> observer) {
        answer(observer, "claim", () -> calls.claim(request));
    }

    @Override
    public void recordOutcome(RecordOutcomeRequest request, StreamObserver<RecordOutcomeResponse> observer) {
        answer(observer, "record outcome", () -> calls.recordOutcome(request));
    }

    @Override
    public void handOverUsage(UsageBatch request, StreamObserver<UsageAck> observer) {
        answer(observer, "hand over usage", () -> calls.handOverUsage(request));
    }

    @Override
    public void acknowledgeDrain(DrainRequest request, StreamObserver<DrainStatus> observer) {
        answer(observer, "acknowledge drain", () -> calls.acknowledgeDrain(request));
    }

    private static <T> void answer(StreamObserver<T> observer, String step, Supplier<T> call) {
        T response;
        try {
            response = call.get();
        } catch (IllegalArgumentException e) {
            observer.onError(Status.INVALID_ARGUMENT
                    .withDescription(step + ": " + e.getMessage())
                    .asRuntimeException());
            return;
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "peer call failed: " + step, e);
            observer.onError(Status.INTERNAL.withDescription(step).asRuntimeException());
            return;
        }
        observer.onNext(response);
        observer.onCompleted();
    }
}
