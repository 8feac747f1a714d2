package org.cactusshift.internal.transport.platform;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.URISyntaxException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.util.Timeout;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.DaemonThreads;
import org.cactusshift.internal.transport.http.ClientConnection;

/**
 * An HTTP client for calls to the platform and to engines. It opens a new connection for each call and limits the total
 * time of the call.
 *
 * <p>At the timeout the connection is reset, so that bytes that this machine has not yet sent are dropped and can't
 * arrive later. A check made before the call, such as whether the node holds a lease, therefore also bounds the time at
 * which the request can reach the remote side.
 */
public final class PlatformHttpClient implements AutoCloseable {
    private static final int MAXIMUM_RESPONSE_BODY_BYTES = 4 * 1024 * 1024;
    private static final HttpRequestExecutor EXECUTOR = new HttpRequestExecutor();
    private static final HttpProcessor PROCESSOR = HttpProcessors.client();

    private final long timeoutMillis;
    private final ScheduledExecutorService timeoutScheduler;

    private PlatformHttpClient(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
        ScheduledThreadPoolExecutor executor =
                new ScheduledThreadPoolExecutor(1, DaemonThreads.named("platform-call-watchdog"));
        executor.setRemoveOnCancelPolicy(true);
        this.timeoutScheduler = executor;
    }

    /**
     * Creates a client.
     *
     * @param timeoutMillis the longest time of a call, from opening the connection to the end of the response
     * @return the client
     */
    public static PlatformHttpClient create(long timeoutMillis) {
        if (timeoutMillis <= 0) {
            throw new IllegalArgumentException("timeoutMillis must be positive: " + timeoutMillis);
        }
        return new PlatformHttpClient(timeoutMillis);
    }

    /**
     * Returns the timeout of a call.
     *
     * @return the timeout in milliseconds
     */
    public long timeoutMillis() {
        return timeoutMillis;
    }

    Either<Failure, PlatformResponse> get(String step, String address, String path) {
        return call(step, address, ClassicRequestBuilder.get(path));
    }

    Either<Failure, PlatformResponse> delete(String step, String address, String path) {
        return call(step, address, ClassicRequestBuilder.delete(path));
    }

    Either<Failure, PlatformResponse> post(String step, String address, String path, byte[] json) {
        return call(
                step,
                address,
                ClassicRequestBuilder.post(path).setEntity(new ByteArrayEntity(json, ContentType.APPLICATION_JSON)));
    }

    private Either<Failure, PlatformResponse> call(String step, String address, ClassicRequestBuilder builder) {
        Socket socket = new Socket();
        Future<?> timeoutTask = timeoutScheduler.schedule(() -> reset(socket), timeoutMillis, TimeUnit.MILLISECONDS);
        boolean mayHaveSent = false;
        try {
            HttpHost host = HttpHost.create("http://" + address);
            ClassicHttpRequest request = builder.setHttpHost(host).build();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host.getHostName(), host.getPort()), Math.toIntExact(timeoutMillis));
            mayHaveSent = true;
            return Either.right(exchange(socket, request));
        } catch (IOException | HttpException | URISyntaxException e) {
            String message = e.toString();
            return Either.left(
                    mayHaveSent
                            ? Failure.unknownEffect(step, address, message)
                            : Failure.noEffect(step, address, message));
        } finally {
            timeoutTask.cancel(false);
            reset(socket);
        }
    }

    private PlatformResponse exchange(Socket socket, ClassicHttpRequest request) throws IOException, HttpException {
        ClientConnection connection = ClientConnection.bindTo(socket);
        connection.setSocketTimeout(Timeout.ofMilliseconds(timeoutMillis));
        HttpCoreContext context = HttpCoreContext.create();
        EXECUTOR.preProcess(request, PROCESSOR, context);
        try (ClassicHttpResponse response = EXECUTOR.execute(request, connection, context)) {
            EXECUTOR.postProcess(response, PROCESSOR, context);
            byte[] body = response.getEntity() == null
                    ? new byte[0]
                    : EntityUtils.toByteArray(response.getEntity(), MAXIMUM_RESPONSE_BODY_BYTES);
            return new PlatformResponse(response.getCode(), body);
        }
    }

    private static void reset(Socket socket) {
        try {
            if (!socket.isClosed()) {
                socket.setSoLinger(true, 0);
            }
        } catch (SocketException e) {
            // The socket was closed concurrently.
        }
        try {
            socket.close();
        } catch (IOException e) {
            // The connection isn't used again, so a failed close needs no handling.
        }
    }

    @Override
    public void close() {
        timeoutScheduler.shutdownNow();
    }
}
