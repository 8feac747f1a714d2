package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.cactusshift.internal.coordination.serving.Upstream;

/** Releases KV cache that a prefill engine retains for a decode engine; what is not released expires there. */
final class KvRelease implements HttpResponseListener {
    private final RelayContext context;
    private final Upstream engine;

    private KvRelease(RelayContext context, Upstream engine) {
        this.context = context;
        this.engine = engine;
    }

    /** Sends a release to an engine; the source has the form {@code ADDRESS:PORT/HANDLE}. */
    static void send(RelayContext context, Upstream engine, String kvSource) {
        long now = context.clock().monotonicMillis();
        if (engine.rest().lasts(now)) {
            // The engine drops the KV cache when its time is over.
            return;
        }
        context.upstreamLimits().onSend(engine.incarnation(), now);
        KvRelease release = new KvRelease(context, engine);
        int slash = kvSource.indexOf('/');
        String address = kvSource.substring(0, slash);
        String path = context.codec().kvReleasePath(kvSource.substring(slash + 1));
        context.pool()
                .acquire(
                        address,
                        Long.MAX_VALUE,
                        acquired -> acquired.forEach(pooled -> {
                            HttpHeaders host = new DefaultHttpHeaders().set(HttpHeaderNames.HOST, address);
                            ResponseProof proof = ResponseProof.ofUnnamedRequest(context.codec());
                            pooled.send(HttpMethod.DELETE, path, host, Unpooled.EMPTY_BUFFER, proof, release);
                        }));
    }

    @Override
    public void onHead(HttpResponse response) {
        long now = context.clock().monotonicMillis();
        new UpstreamStatements(context, engine, "-").record(context.codec().readResponse(response), now, now);
    }

    @Override
    public void onContent(ByteBuf bytes) {
        // The outcome does not matter.
    }

    @Override
    public void onComplete() {
        // The outcome does not matter.
    }

    @Override
    public void onFailure(String reason) {
        // The outcome does not matter.
    }
}
