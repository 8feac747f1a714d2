package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response of one exchange, on the event loop. No method is called after the end of the exchange.
 */
public interface HttpResponseListener {
    /**
     * Called with the head of the response that answers the request, as its {@link ResponseProof} shows.
     *
     * @param response the head
     */
    void onHead(HttpResponse response);

    /**
     * Called with a part of the body.
     *
     * @param content the bytes; released after the call
     */
    void onContent(ByteBuf content);

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called when the connection fails before the response is complete.
     *
     * @param reason what happened, for logs and for the body of an error response
     */
    void onFailure(String reason);
}
