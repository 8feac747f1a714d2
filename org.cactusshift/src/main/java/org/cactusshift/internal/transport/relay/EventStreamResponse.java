package org.cactusshift.internal.transport.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** Tells streams of events from other responses on the routes of streams. */
final class EventStreamResponse {
    private EventStreamResponse() {}

    /** Returns whether a response may hold events: a success of their content type, or of none. */
    static boolean mayHoldEvents(HttpResponseStatus status, HttpHeaders headers) {
        String contentType = headers.get(HttpHeaderNames.CONTENT_TYPE);
        return status.code() == HttpResponseStatus.OK.code()
                && (contentType == null
                        || HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(
                                HttpUtil.getMimeType(contentType)));
    }
}
