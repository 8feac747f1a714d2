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
 * A gRPC client for calls to other nodes, with one channel for each peer address.
 *
 * <p>Keep-alive pings are sent on idle connections too, so that an unresponsive connection is closed and replaced.
 */
public final class PeerClient implements AutoCloseable {
    private static final int MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;
    /** The time to wait for the response to a keep-alive ping; also their interval, which gRPC raises to 10 s. */
    private static final long KEEP_ALIVE_INTERVAL_MILLIS = 2_000;

    private final ChannelCredentials credentials;
    private final Executor executor;
    private final Map<String, ManagedChannel> channelByAddress = new ConcurrentHashMap<>();

    private PeerClient(ChannelCredentials credentials, Executor executor) {
        this.credentials = credentials;
        this.executor = executor;
    }

    /**
     * Creates a client without opening a connection.
     *
     * @param tls the certificates, or empty for plain text
     * @param executor runs the callbacks
     * @return the client
     */
    public static PeerClient create(Optional<TlsContext> tls, Executor executor) {
        ChannelCredentials credentials =
                tls.map(TlsContext::clientCredentials).orElseGet(InsecureChannelCredentials::create);
        return new PeerClient(credentials, executor);
    }

    /**
     * Makes a call and waits for its response.
     *
     * @param peerAddress the peer, as {@code ADDRESS:PORT}
     * @param step the step to name in a failure
     * @param timeoutMillis the longest wait
     * @param call makes the call on the given stub
     * @param <T> the type of the response
     * @return the response, or the failure: {@link Failure.Kind#REJECTED} if the peer refused the call as invalid,
     *     unauthorized or not implemented, else {@link Failure.Kind#UNKNOWN_EFFECT}
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
     * Watches the configuration versions of a config relay.
     *
     * @param peerAddress the config relay, as {@code ADDRESS:PORT}
     * @param request identifies this node
     * @param observer receives the versions and the end of the stream
     * @return an action that cancels the stream
     */
    public Runnable watchConfig(
            String peerAddress, WatchConfigRequest request, StreamObserver<ConfigVersion> observer) {
        Context.CancellableContext context = Context.current().withCancellation();
        context.run(() -> PeerGrpc.newStub(channel(peerAddress)).watchConfig(request, observer));
        return () -> context.cancel(null);
    }

    /**
     * Closes the channel of a peer, if one is open; its open calls fail.
     *
     * @param peerAddress the peer, as {@code ADDRESS:PORT}
     */
    public void closeChannel(String peerAddress) {
        ManagedChannel channel = channelByAddress.remove(peerAddress);
        if (channel != null) {
            channel.shutdownNow();
        }
    }

    @Override
    public void close() {
        channelByAddress.keySet().forEach(this::closeChannel);
    }

    private ManagedChannel channel(String peerAddress) {
        return channelByAddress.computeIfAbsent(peerAddress, this::open);
    }

    private ManagedChannel open(String peerAddress) {
        int colon = peerAddress.lastIndexOf(':');
        InetSocketAddress address = new InetSocketAddress(
                peerAddress.substring(0, colon), Integer.parseInt(peerAddress.substring(colon + 1)));
        return NettyChannelBuilder.forAddress(address, credentials)
                .executor(executor)
                .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                .keepAliveTime(KEEP_ALIVE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
                .keepAliveTimeout(KEEP_ALIVE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
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
