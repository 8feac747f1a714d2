package org.cactusshift.internal.transport.http;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.cactusshift.internal.transport.http.HttpExchangeException.Reason;

/**
 * An exchange with an HTTP server: the status and headers have been received, the body is read through this object.
 * Used by one thread, except for {@link #abort}.
 *
 * <p>The connection is reused only if the body was read to its end before {@link #close}.
 */
public final class HttpClientExchange implements Closeable {
    private final HttpClientPool pool;
    private final UpstreamConnection connection;
    private final ClassicHttpRequest request;
    private final ClassicHttpResponse response;
    private final InputStream content;
    private boolean bodyEnded;
    private boolean released;

    HttpClientExchange(
            HttpClientPool pool,
            UpstreamConnection connection,
            ClassicHttpRequest request,
            ClassicHttpResponse response)
            throws IOException {
        this.pool = pool;
        this.connection = connection;
        this.request = request;
        this.response = response;
        HttpEntity entity = response.getEntity();
        this.content = entity == null ? InputStream.nullInputStream() : entity.getContent();
        this.bodyEnded = entity == null;
    }

    /**
     * Returns the status line and headers.
     *
     * @return the response
     */
    public ClassicHttpResponse response() {
        return response;
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status
     */
    public int status() {
        return response.getCode();
    }

    /**
     * Returns the first value of a header.
     *
     * @param name the name of the header, case-insensitive
     * @return the value, or empty if the header is absent
     */
    public Optional<String> header(String name) {
        Header header = response.getFirstHeader(name);
        return Optional.ofNullable(header).map(Header::getValue);
    }

    /**
     * Reads a part of the body.
     *
     * @param bytes the buffer that receives the bytes
     * @return the number of bytes read, or -1 at the end of the body
     * @throws HttpExchangeException if the exchange fails or the response is no longer needed
     */
    public int read(byte[] bytes) throws HttpExchangeException {
        if (bodyEnded) {
            return -1;
        }
        try {
            int count = content.read(bytes);
            bodyEnded = count < 0;
            return count;
        } catch (IOException e) {
            throw HttpClientPool.toHttpExchangeException(e, connection, "read response");
        }
    }

    /**
     * Reads the rest of the body.
     *
     * @param maximumBytes the maximum size of the rest of the body
     * @return the bytes
     * @throws HttpExchangeException if the exchange fails or the body is larger
     */
    public byte[] readAll(int maximumBytes) throws HttpExchangeException {
        try {
            byte[] bytes = content.readNBytes(maximumBytes);
            bodyEnded = bodyEnded || content.read() < 0;
            if (!bodyEnded) {
                throw HttpExchangeException.of(
                        Reason.CLOSED,
                        "read response",
                        connection.address(),
                        "the response body exceeds the size limit");
            }
            return bytes;
        } catch (IOException e) {
            throw HttpClientPool.toHttpExchangeException(e, connection, "read response");
        }
    }

    /** Closes the connection immediately, which cancels the request at the server. May be called by any thread. */
    public void abort() {
        connection.abort();
    }

    /** Returns the connection to the pool if the exchange is complete, otherwise closes it. */
    @Override
    public void close() {
        if (released) {
            return;
        }
        released = true;
        boolean reusable = bodyEnded
                && !connection.isAborted()
                && connection.isReusable()
                && connection.isConsistent()
                && DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, response, HttpCoreContext.create());
        pool.release(connection, RequestName.of(request).isPresent(), reusable);
    }
}
