package org.cactusshift.internal.transport.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes the responses on a client connection, and shows whether bytes arrived that belong to no exchange. */
final class ResponseDecoder extends HttpResponseDecoder {
    /** What the decoder asks of the connection. */
    interface Exchanges {
        /** Returns whether a request waits for its response. */
        boolean isOpen();

        /** Returns whether responses have no body, whatever their headers say. */
        boolean haveNoBody();

        /** Called with bytes that arrive while no request waits. */
        void onUnsolicitedBytes();
    }

    private final Exchanges exchanges;

    ResponseDecoder(HttpDecoderConfig config, Exchanges exchanges) {
        super(config);
        this.exchanges = exchanges;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (!exchanges.isOpen()) {
            // They could become the beginning of the response to the next request.
            exchanges.onUnsolicitedBytes();
        }
        super.channelRead(context, message);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return exchanges.haveNoBody() || super.isContentAlwaysEmpty(message);
    }

    /** Returns whether bytes have arrived that no message was decoded from yet. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }
}
