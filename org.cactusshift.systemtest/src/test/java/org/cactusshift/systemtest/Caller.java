package org.cactusshift.systemtest;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/** HTTP client that sends requests to nodes with the key of one client account. */
final class Caller implements AutoCloseable {
    private static final Timeout TIMEOUT = Timeout.ofSeconds(60);

    private final String bearerToken;

    private final HttpRequester requester = RequesterBootstrap.bootstrap()
            .setSocketConfig(SocketConfig.custom().setSoTimeout(TIMEOUT).build())
            .create();

    Caller(String bearerToken) {
        this.bearerToken = bearerToken;
    }

    /**
     * Sends a POST request with a JSON body and reads the response to its end.
     *
     * @param address the address at which a node accepts callers, as {@code ADDRESS:PORT}
     * @param path the request path
     * @param body the request body
     * @param idempotencyKey the idempotency key; empty for none
     * @return the complete response
     * @throws IOException if the connection fails before the end of the response
     */
    Response post(String address, String path, String body, String idempotencyKey) throws IOException {
        ClassicRequestBuilder builder = ClassicRequestBuilder.post(path)
                .setEntity(body, ContentType.APPLICATION_JSON)
                .addHeader("Authorization", "Bearer " + bearerToken);
        if (!idempotencyKey.isEmpty()) {
            builder.addHeader("Idempotency-Key", idempotencyKey);
        }
        try {
            HttpHost host = HttpHost.create("http://" + address);
            return requester.execute(
                    host, builder.setHttpHost(host).build(), TIMEOUT, HttpCoreContext.create(), Caller::toResponse);
        } catch (HttpException | URISyntaxException e) {
            throw new IOException("malformed HTTP exchange with " + address, e);
        }
    }

    @Override
    public void close() {
        requester.close(CloseMode.IMMEDIATE);
    }

    private static Response toResponse(ClassicHttpResponse response) throws HttpException, IOException {
        Header outcome = response.getFirstHeader("x-cactusshift-outcome");
        String text = EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8);
        return new Response(response.getCode(), outcome == null ? "" : outcome.getValue(), text);
    }

    /**
     * A complete response.
     *
     * @param status the HTTP status
     * @param outcome the value of {@code x-cactusshift-outcome}; empty when absent
     * @param text the response body
     */
    record Response(int status, String outcome, String text) {}
}
