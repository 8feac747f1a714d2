package org.cactusshift.internal.transport.http;

import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;

/** Builds HTTP responses with a complete body. */
public final class HttpResponses {
    private HttpResponses() {}

    /**
     * Returns a response with a body.
     *
     * @param status the HTTP status
     * @param type the content type
     * @param body the body
     * @return the response
     */
    public static ClassicHttpResponse of(int status, ContentType type, byte[] body) {
        ClassicHttpResponse response = new BasicClassicHttpResponse(status);
        response.setEntity(new ByteArrayEntity(body, type));
        return response;
    }

    /**
     * Returns a response with a JSON body.
     *
     * @param status the HTTP status
     * @param json the JSON text
     * @return the response
     */
    public static ClassicHttpResponse json(int status, String json) {
        return of(status, ContentType.APPLICATION_JSON, json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a response with a text body.
     *
     * @param status the HTTP status
     * @param text the text
     * @return the response
     */
    public static ClassicHttpResponse text(int status, String text) {
        return of(
                status,
                ContentType.TEXT_PLAIN.withCharset(StandardCharsets.UTF_8),
                text.getBytes(StandardCharsets.UTF_8));
    }
}
