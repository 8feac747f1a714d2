package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;

/**
 * Asynchronous client of the HTTP service at one address. Each call has a time limit, which is extended a few times
 * while its response goes on arriving; the connection of a call that times out is closed. To be used on the event loop
 * only.
 */
public final class HttpServiceClient {
    /**
     * How often the time limit of a call is extended while its response goes on arriving: a node with a slow link needs
     * longer for a long response, and would need as long for the next one.
     */
    private static final int MAXIMUM_EXTENSIONS = 3;

    private final HttpConnectionPool pool;
    private final Connector connector;
    private final EventLoop eventLoop;
    private final String address;

    private HttpServiceClient(HttpConnectionPool pool, Connector connector, EventLoop eventLoop, String address) {
        this.pool = pool;
        this.connector = connector;
        this.eventLoop = eventLoop;
        this.address = address;
    }

    /** Provides the connection of a call. */
    private interface Connector {
        void connect(String address, Consumer<Either<Failure, HttpClientConnection>> receiver);
    }

    /**
     * Returns a client of a service that responds once to each request. Its calls reuse connections.
     *
     * @param pool provides connections
     * @param eventLoop the event loop
     * @param address the address of the service, as {@code ADDRESS:PORT}
     * @return the client
     */
    public static HttpServiceClient create(HttpConnectionPool pool, EventLoop eventLoop, String address) {
        // No limit on how long a reused connection has been idle, other than the remote idle timeout.
        Connector reusing = (to, receiver) -> pool.acquire(to, Long.MAX_VALUE, receiver);
        return new HttpServiceClient(pool, reusing, eventLoop, address);
    }

    /**
     * Returns a client of an upstream, whose responses to such calls name no request. Each call opens a connection of
     * its own, so that a late second response to another request is not taken for the response.
     *
     * @param pool opens connections
     * @param eventLoop the event loop
     * @param address the address of the upstream, as {@code ADDRESS:PORT}
     * @return the client
     */
    public static HttpServiceClient createForUpstream(HttpConnectionPool pool, EventLoop eventLoop, String address) {
        return new HttpServiceClient(pool, pool::connectForSingleExchange, eventLoop, address);
    }

    /**
     * A complete response.
     *
     * @param status the status
     * @param headers the headers
     * @param body the body
     */
    public record Response(int status, HttpHeaders headers, byte[] body) {}

    /**
     * Sends a request and delivers the complete response or the failure. A failure to connect has no effect; the effect
     * of any later failure is unknown.
     *
     * @param step what the call does, as a short verb phrase for failures such as {@code "renew lease"}
     * @param method the method
     * @param target the request target
     * @param headers the headers other than host and content length; modified
     * @param body the body, may be empty
     * @param timeoutMillis the time limit for connecting and the complete response, in milliseconds; extended
     *     up to three times if parts of the response have arrived meanwhile
     * @param receiver receives the response or the failure, exactly once
     */
    public void call(
            String step,
            HttpMethod method,
            String target,
            HttpHeaders headers,
            byte[] body,
            long timeoutMillis,
            Consumer<Either<Failure, Response>> receiver) {
        callIf(() -> true, step, method, target, headers, body, timeoutMillis, receiver);
    }

    /**
     * Sends a request like {@link #call} if a condition holds when the connection is there; otherwise the call fails
     * without effect.
     *
     * @param condition the condition
     * @param step what the call does
     * @param method the method
     * @param target the request target
     * @param headers the headers other than host and content length; modified
     * @param body the body, may be empty
     * @param timeoutMillis the time limit for connecting and the complete response, in milliseconds; extended
     *     up to three times if parts of the response have arrived meanwhile
     * @param receiver receives the response or the failure, exactly once
     */
    public void callIf(
            BooleanSupplier condition,
            String step,
            HttpMethod method,
            String target,
            HttpHeaders headers,
            byte[] body,
            long timeoutMillis,
            Consumer<Either<Failure, Response>> receiver) {
        Call call = new Call(step, condition, timeoutMillis, receiver);
        call.startTimer();
        headers.set(HttpHeaderNames.HOST, address);
        connector.connect(address, acquired -> call.start(acquired, method, target, headers, body));
    }

    private final class Call implements HttpResponseListener {
        private final String step;
        private final BooleanSupplier condition;
        private final long timeoutMillis;
        private final Consumer<Either<Failure, Response>> receiver;
        private final ByteArrayOutputStream content = new ByteArrayOutputStream();
        private ScheduledFuture<?> timer;
        private HttpClientConnection connection;
        private int status;
        private HttpHeaders responseHeaders;
        private boolean hasProgressed;
        private int extensions;
        private boolean ended;

        Call(String step, BooleanSupplier condition, long timeoutMillis, Consumer<Either<Failure, Response>> receiver) {
            this.step = step;
            this.condition = condition;
            this.timeoutMillis = timeoutMillis;
            this.receiver = receiver;
        }

        void start(
                Either<Failure, HttpClientConnection> acquired,
                HttpMethod method,
                String target,
                HttpHeaders headers,
                byte[] body) {
            if (ended) {
                acquired.forEach(pool::release);
                return;
            }
            if (acquired.isLeft()) {
                end(Either.left(
                        Failure.noEffect(step, address, acquired.getLeft().message())));
                return;
            }
            if (!condition.getAsBoolean()) {
                pool.release(acquired.get());
                end(Either.left(Failure.noEffect(step, address, "it may no longer be sent")));
                return;
            }
            connection = acquired.get();
            connection.send(method, target, headers, Unpooled.wrappedBuffer(body), ResponseProof.ofConnection(), this);
        }

        void startTimer() {
            hasProgressed = false;
            timer = eventLoop.schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
        }

        void onTimeout() {
            if (ended) {
                return;
            }
            if (hasProgressed && extensions < MAXIMUM_EXTENSIONS) {
                extensions++;
                startTimer();
                return;
            }
            if (connection == null) {
                end(Either.left(Failure.noEffect(step, address, "connecting timed out")));
            } else {
                connection.abandon();
                end(Either.left(Failure.unknownEffect(step, address, "response timed out")));
            }
        }

        @Override
        public void onHead(HttpResponse response) {
            status = response.status().code();
            responseHeaders = response.headers();
        }

        @Override
        public void onContent(ByteBuf bytes) {
            hasProgressed = true;
            content.writeBytes(ByteBufUtil.getBytes(bytes));
        }

        @Override
        public void onComplete() {
            end(Either.right(new Response(status, responseHeaders, content.toByteArray())));
        }

        @Override
        public void onFailure(String reason) {
            end(Either.left(Failure.unknownEffect(step, address, reason)));
        }

        private void end(Either<Failure, Response> outcome) {
            if (!ended) {
                ended = true;
                timer.cancel(false);
                receiver.accept(outcome);
            }
        }
    }
}
