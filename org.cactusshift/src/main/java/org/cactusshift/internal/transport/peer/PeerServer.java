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

/** A gRPC server for calls from other nodes. */
public final class PeerServer implements AutoCloseable {
    private static final int MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;
    /** The interval of keep-alive pings, and the time to wait for the response to one. */
    private static final long KEEP_ALIVE_INTERVAL_MILLIS = 2_000;

    private static final long MINIMUM_CLIENT_KEEP_ALIVE_INTERVAL_MILLIS = 500;
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final Server server;
    private final MutableHandlerRegistry services;

    private PeerServer(Server server, MutableHandlerRegistry services) {
        this.server = server;
        this.services = services;
    }

    /**
     * Binds the address and starts the server. Calls fail with UNIMPLEMENTED until {@link #registerHandler} is
     * called.
     *
     * @param address the address to listen on; port 0 selects a free port
     * @param tls the certificates, or empty for plain text
     * @param executor runs the handling of calls
     * @return the started server, or the failure if the address can't be bound
     */
    public static Either<Failure, PeerServer> start(
            InetSocketAddress address, Optional<TlsContext> tls, Executor executor) {
        MutableHandlerRegistry services = new MutableHandlerRegistry();
        ServerCredentials credentials =
                tls.map(TlsContext::serverCredentials).orElseGet(InsecureServerCredentials::create);
        Server server = NettyServerBuilder.forAddress(address, credentials)
                .executor(executor)
                .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                .keepAliveTime(KEEP_ALIVE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
                .keepAliveTimeout(KEEP_ALIVE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
                .permitKeepAliveTime(MINIMUM_CLIENT_KEEP_ALIVE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
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
     * Registers the handler; calls are accepted from then on.
     *
     * @param handler handles the calls
     */
    public void registerHandler(PeerRequestHandler handler) {
        services.addService(PeerGrpcService.create(handler));
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return server.getPort();
    }

    /** Stops the server; waits for open calls, and cancels those that have not ended after 500 ms. */
    @Override
    public void close() {
        server.shutdown();
        try {
            if (!server.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                server.shutdownNow();
            }
        } catch (InterruptedException e) {
            server.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }
}
