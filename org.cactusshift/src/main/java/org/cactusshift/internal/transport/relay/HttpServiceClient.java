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
import java.util.function.Consumer;
import org.cactusshift.errors.Failure;

/** Calls to a service of the platform, each with a time limit; a connection whose answer is missing is closed. */
public final class HttpServiceClient {
    private final UpstreamConnectionPool pool;
    private final EventLoop eventLoop;
    private final String address;

    private HttpServiceClient(UpstreamConnectionPool pool, EventLoop eventLoop, String address) {
        this.pool = pool;
        this.eventLoop = eventLoop;
        this.address = address;
    }

    /**
     * Returns a caller of one service.
     *
     * @param pool connections
     * @param eventLoop the event loop
     * @param address where the service listens, as {@code ADDRESS:PORT}
     * @return the caller
     */
    public static HttpServiceClient create(UpstreamConnectionPool pool, EventLoop eventLoop, String address) {
        return new HttpServiceClient(pool, eventLoop, address);
    }

    /**
     * A whole answer.
     *
     * @param status the status
     * @param body the body
     */
    public record Response(int status, byte[] body) {}

    /**
     * Makes a call.
     *
     * @param step what the call does, for failures
     * @param method the method
     * @param target the request target
     * @param headers the headers besides host and length
     * @param body the body, may be empty
     * @param timeoutMillis the time limit
     * @param receiver receives the answer or the failure, once
     */
    public void call(
            String step,
            HttpMethod method,
            String target,
            HttpHeaders headers,
            byte[] body,
            long timeoutMillis,
            Consumer<Either<Failure, Response>> receiver) {
        Call call = new Call(step, receiver);
        call.timer = eventLoop.schedule(call::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
        headers.set(HttpHeaderNames.HOST, address);
        pool.take(address, Long.MAX_VALUE, taken -> call.start(taken, method, target, headers, body));
    }

    private final class Call implements UpstreamResponseListener {
        private final String step;
        private final Consumer<Either<Failure, Response>> receiver;
        private final ByteArrayOutputStream content = new ByteArrayOutputStream();
        private ScheduledFuture<?> timer;
        private UpstreamConnection connection;
        private int status;
        private boolean ended;

        Call(String step, Consumer<Either<Failure, Response>> receiver) {
            this.step = step;
            this.receiver = receiver;
        }

        void start(
                Either<Failure, UpstreamConnection> taken,
                HttpMethod method,
                String target,
                HttpHeaders headers,
                byte[] body) {
            if (ended) {
                taken.forEach(pool::giveBack);
                return;
            }
            if (taken.isLeft()) {
                end(Either.left(Failure.noEffect(step, address, taken.getLeft().message())));
                return;
            }
            connection = taken.get();
            connection.send(method, target, headers, Unpooled.wrappedBuffer(body), this);
        }

        void onTimeout() {
            if (ended) {
                return;
            }
            if (connection == null) {
                end(Either.left(Failure.noEffect(step, address, "no connection in time")));
            } else {
                connection.abandon();
                end(Either.left(Failure.unknownEffect(step, address, "no answer in time")));
            }
        }

        @Override
        public boolean onHead(HttpResponse response) {
            status = response.status().code();
            return true;
        }

        @Override
        public void onContent(ByteBuf bytes) {
            content.writeBytes(ByteBufUtil.getBytes(bytes));
        }

        @Override
        public void onComplete() {
            end(Either.right(new Response(status, content.toByteArray())));
        }

        @Override
        public void onBroken(String reason) {
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
