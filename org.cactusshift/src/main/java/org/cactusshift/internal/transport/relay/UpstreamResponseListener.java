package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer of one exchange with an upstream, on the event loop. After an end nothing more is called. */
public interface UpstreamResponseListener {
    /**
     * Takes the head of an answer.
     *
     * @param response the head
     * @return whether this answers the exchange; false leaves out the whole answer and waits for the next one
     */
    boolean onHead(HttpResponse response);

    /**
     * Takes a part of the body.
     *
     * @param content the bytes; released after the call
     */
    void onContent(ByteBuf content);

    /** Takes the whole end of the answer. */
    void onComplete();

    /**
     * Takes the loss of the connection before the answer was whole.
     *
     * @param reason what happened, for an operator
     */
    void onBroken(String reason);
}
