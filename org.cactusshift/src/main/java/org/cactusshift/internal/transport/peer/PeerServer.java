package org.cactusshift.internal.transport.peer;

import io.grpc.InsecureServerCredentials;
import io.grpc.Server;
import io.grpc.ServerCredentials;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.util.MutableHandlerRegistry;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.transport.tls.TlsContext;

/** Listens for calls of other nodes. */
public final class PeerServer implements AutoCloseable {
    private static final int MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;
    private static final long KEEP_ALIVE_MILLIS = 2_000;
    private static final long MINIMUM_CLIENT_KEEP_ALIVE_MILLIS = 500;
    private static final long CLOSE_GRACE_MILLIS = 500;

    private final Server server;
    private final MutableHandlerRegistry services;

    private PeerServer(Server server, MutableHandlerRegistry services) {
        this.server = server;
        this.services = services;
    }

    /**
     * Binds and starts; calls are rejected until {@link #registerHandler} is called.
     *
     * @param address where to listen; port 0 takes a free one
     * @param tls certificates, or empty for plain text
     * @param executor runs the calls
     * @return the started server, or the failure when the address can't be bound
     */
    public static Either<Failure, PeerServer> start(
            InetSocketAddress address, Optional<TlsContext> tls, Executor executor) {
        MutableHandlerRegistry services = new MutableHandlerRegistry();
        ServerCredentials credentials =
                tls.map(TlsContext::mutualServerCredentials).orElseGet(InsecureServerCredentials::create);
        Server server = NettyServerBuilder.forAddress(address, credentials)
                .executor(executor)
                .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                .keepAliveTime(KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS)
                .keepAliveTimeout(KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS)
                .permitKeepAliveTime(MINIMUM_CLIENT_KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS)
                .permitKeepAliveWithoutCalls(true)
                .fallbackHandlerRegistry(services)
                .build();
        try {
            return Either.right(new PeerServer(server.start(), services));
        } catch (IOException e) {
            return Either.left(Failure.noEffect("listen for peers", address.toString(), e.toString()));
        }
    }

    /**
     * Begins to answer calls.
     *
     * @param calls answers the calls
     */
    public void registerHandler(PeerRequestHandler calls) {
        services.addService(PeerGrpcService.create(calls));
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return server.getPort();
    }

    @Override
    public void close() {
        server.shutdown();
        try {
            if (!server.awaitTermination(CLOSE_GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
                server.shutdownNow();
            }
        } catch (InterruptedException e) {
            server.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }
}
