package org.cactusshift.internal.transport.peer;

import io.grpc.ChannelCredentials;
import io.grpc.Context;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.transport.tls.TlsContext;
import org.cactusshift.messages.ConfigVersion;
import org.cactusshift.messages.PeerGrpc;
import org.cactusshift.messages.WatchConfigRequest;

/**
 * Connections to other nodes, one channel for each peer address.
 *
 * <p>Channels ping idle and busy connections alike, so that a connection that went silent is closed and replaced.
 */
public final class PeerClient implements AutoCloseable {
    private static final int MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;
    private static final long KEEP_ALIVE_MILLIS = 2_000;

    private final ChannelCredentials credentials;
    private final Executor executor;
    private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();

    private PeerClient(ChannelCredentials credentials, Executor executor) {
        this.credentials = credentials;
        this.executor = executor;
    }

    /**
     * Creates the connections without opening any.
     *
     * @param tls certificates, or empty for plain text
     * @param executor runs callbacks
     * @return the connections
     */
    public static PeerClient create(Optional<TlsContext> tls, Executor executor) {
        ChannelCredentials credentials =
                tls.map(TlsContext::channelCredentials).orElseGet(InsecureChannelCredentials::create);
        return new PeerClient(credentials, executor);
    }

    /**
     * Makes a call and waits for its answer.
     *
     * @param peerAddress the peer, as {@code ADDRESS:PORT}
     * @param step the name of the step, for failures
     * @param timeoutMillis the longest wait
     * @param call makes the call on a stub
     * @param <T> the answer's type
     * @return the answer, or the failure; a call whose answer was lost has {@link Failure.Kind#UNKNOWN_EFFECT}
     */
    public <T> Either<Failure, T> call(
            String peerAddress, String step, long timeoutMillis, Function<PeerGrpc.PeerBlockingStub, T> call) {
        PeerGrpc.PeerBlockingStub stub =
                PeerGrpc.newBlockingStub(channel(peerAddress)).withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS);
        try {
            return Either.right(call.apply(stub));
        } catch (StatusRuntimeException e) {
            return Either.left(toFailure(step, peerAddress, e));
        }
    }

    /**
     * Opens a stream of configuration versions.
     *
     * @param peerAddress the relay, as {@code ADDRESS:PORT}
     * @param request who asks
     * @param observer receives the versions and the end
     * @return ends the stream
     */
    public Runnable watchConfig(
            String peerAddress, WatchConfigRequest request, StreamObserver<ConfigVersion> observer) {
        Context.CancellableContext context = Context.current().withCancellation();
        context.run(() -> PeerGrpc.newStub(channel(peerAddress)).watchConfig(request, observer));
        return () -> context.cancel(null);
    }

    /**
     * Closes the channel of a peer that left.
     *
     * @param peerAddress the peer, as {@code ADDRESS:PORT}
     */
    public void closeChannel(String peerAddress) {
        ManagedChannel channel = channels.remove(peerAddress);
        if (channel != null) {
            channel.shutdownNow();
        }
    }

    @Override
    public void close() {
        channels.keySet().forEach(this::closeChannel);
    }

    private ManagedChannel channel(String peerAddress) {
        return channels.computeIfAbsent(peerAddress, this::open);
    }

    private ManagedChannel open(String peerAddress) {
        int colon = peerAddress.lastIndexOf(':');
        InetSocketAddress address = new InetSocketAddress(
                peerAddress.substring(0, colon), Integer.parseInt(peerAddress.substring(colon + 1)));
        return NettyChannelBuilder.forAddress(address, credentials)
                .executor(executor)
                .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                .keepAliveTime(KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS)
                .keepAliveTimeout(KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS)
                .keepAliveWithoutCalls(true)
                .disableRetry()
                .build();
    }

    private static Failure toFailure(String step, String peerAddress, StatusRuntimeException e) {
        Status status = e.getStatus();
        return switch (status.getCode()) {
            case INVALID_ARGUMENT, PERMISSION_DENIED, UNAUTHENTICATED, UNIMPLEMENTED ->
                Failure.rejected(step, peerAddress, status.toString());
            default -> Failure.unknownEffect(step, peerAddress, status.toString());
        };
    }
}
