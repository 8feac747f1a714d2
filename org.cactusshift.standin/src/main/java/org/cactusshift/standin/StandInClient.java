package org.cactusshift.standin;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ClassicHttpRequest;
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

/** The HTTP client with which a stand-in or a test calls a stand-in. */
public final class StandInClient implements AutoCloseable {
    private static final Timeout TIMEOUT = Timeout.ofSeconds(5);

    private final HttpRequester requester = RequesterBootstrap.bootstrap()
            .setSocketConfig(SocketConfig.custom().setSoTimeout(TIMEOUT).build())
            .create();

    private StandInClient() {}

    /**
     * Creates a client.
     *
     * @return the client, to be closed by the caller
     */
    public static StandInClient create() {
        return new StandInClient();
    }

    /**
     * Sends a {@code GET} request to a stand-in.
     *
     * @param address the address as {@code ADDRESS:PORT}
     * @param path the path
     * @return the response
     * @throws IOException if the connection fails or the stand-in sends nothing for 5 s
     */
    public Response get(String address, String path) throws IOException {
        return execute(address, ClassicRequestBuilder.get(path));
    }

    /**
     * Sends a {@code POST} request with a JSON body to a stand-in.
     *
     * @param address the address as {@code ADDRESS:PORT}
     * @param path the path
     * @param body the body
     * @param attemptId the value of {@code X-Request-Id}
     * @return the response
     * @throws IOException if the connection fails or the stand-in sends nothing for 5 s
     */
    public Response post(String address, String path, String body, String attemptId) throws IOException {
        return execute(
                address,
                ClassicRequestBuilder.post(path)
                        .setEntity(body, ContentType.APPLICATION_JSON)
                        .addHeader(StandInRequest.ATTEMPT_ID_HEADER, attemptId));
    }

    private Response execute(String address, ClassicRequestBuilder builder) throws IOException {
        try {
            HttpHost host = HttpHost.create("http://" + address);
            ClassicHttpRequest request = builder.setHttpHost(host).build();
            return requester.execute(host, request, TIMEOUT, HttpCoreContext.create(), StandInClient::toResponse);
        } catch (HttpException | URISyntaxException e) {
            throw new IOException("invalid address or malformed HTTP response: " + address, e);
        }
    }

    private static Response toResponse(ClassicHttpResponse response) throws HttpException, IOException {
        byte[] body = EntityUtils.toByteArray(response.getEntity());
        return new Response(
                response.getCode(),
                body,
                secondsOf(response.getFirstHeader("Retry-After")),
                valueOrEmpty(response.getFirstHeader(StandInRequest.ATTEMPT_ID_HEADER)));
    }

    private static long secondsOf(Header header) {
        return header == null ? 0 : Long.parseLong(header.getValue());
    }

    private static String valueOrEmpty(Header header) {
        return header == null ? "" : header.getValue();
    }

    @Override
    public void close() {
        requester.close(CloseMode.IMMEDIATE);
    }

    /**
     * An HTTP response.
     *
     * @param status the HTTP status
     * @param body the body
     * @param retryAfterSeconds the value of {@code Retry-After}, in seconds; 0 when absent
     * @param attemptId the value of {@code X-Request-Id}; empty when absent
     */
    public record Response(int status, byte[] body, long retryAfterSeconds, String attemptId) {
        /**
         * Returns the body as text.
         *
         * @return the text in UTF-8
         */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }
}
