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

/** Implements the gRPC service by delegating each call to a {@link PeerRequestHandler}. */
final class PeerGrpcService extends PeerGrpc.PeerImplBase {
    private static final System.Logger LOG = System.getLogger(PeerGrpcService.class.getName());

    private final PeerRequestHandler handler;

    private PeerGrpcService(PeerRequestHandler handler) {
        this.handler = handler;
    }

    static PeerGrpcService create(PeerRequestHandler handler) {
        return new PeerGrpcService(handler);
    }

    @Override
    public void heartbeat(HeartbeatRequest request, StreamObserver<HeartbeatResponse> observer) {
        respond(observer, "heartbeat", () -> handler.heartbeat(request));
    }

    @Override
    public void fetchConfig(FetchConfigRequest request, StreamObserver<FetchConfigResponse> observer) {
        respond(observer, "fetch configuration", () -> handler.fetchConfig(request));
    }

    @Override
    public void watchConfig(WatchConfigRequest request, StreamObserver<ConfigVersion> observer) {
        ServerCallStreamObserver<ConfigVersion> stream = (ServerCallStreamObserver<ConfigVersion>) observer;
        Runnable unregister = handler.watchConfig(request, stream::onNext);
        // The stream may be cancelled before the handlers are set, so its state is checked as well.
        stream.setOnCloseHandler(unregister);
        if (stream.isCancelled()) {
            unregister.run();
            return;
        }
        stream.setOnCancelHandler(unregister);
    }

    @Override
    public void claim(ClaimRequest request, StreamObserver<ClaimResponse> observer) {
        respond(observer, "claim", () -> handler.claim(request));
    }

    @Override
    public void recordOutcome(RecordOutcomeRequest request, StreamObserver<RecordOutcomeResponse> observer) {
        respond(observer, "record outcome", () -> handler.recordOutcome(request));
    }

    @Override
    public void handOverUsage(UsageBatch request, StreamObserver<UsageAck> observer) {
        respond(observer, "hand over usage", () -> handler.handOverUsage(request));
    }

    @Override
    public void acknowledgeDrain(DrainRequest request, StreamObserver<DrainStatus> observer) {
        respond(observer, "acknowledge drain", () -> handler.acknowledgeDrain(request));
    }

    private static <T> void respond(StreamObserver<T> observer, String step, Supplier<T> call) {
        T response;
        try {
            response = call.get();
        } catch (IllegalArgumentException e) {
            observer.onError(Status.INVALID_ARGUMENT
                    .withDescription(step + ": " + e.getMessage())
                    .asRuntimeException());
            return;
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "handling a peer call failed; responding with INTERNAL: " + step, e);
            observer.onError(Status.INTERNAL.withDescription(step).asRuntimeException());
            return;
        }
        observer.onNext(response);
        observer.onCompleted();
    }
}
