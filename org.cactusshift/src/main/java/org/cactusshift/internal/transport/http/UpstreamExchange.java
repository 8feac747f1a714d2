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
import org.cactusshift.internal.transport.http.UpstreamException.Loss;

/**
 * An answer of an upstream whose body is still being received. Used by one thread, but for {@link #abort}.
 *
 * <p>The connection is used again only if the body was read to its end before {@link #close}.
 */
public final class UpstreamExchange implements Closeable {
    private final HttpClientPool pool;
    private final UpstreamConnection connection;
    private final ClassicHttpRequest request;
    private final ClassicHttpResponse response;
    private final InputStream content;
    private boolean ended;
    private boolean released;

    UpstreamExchange(
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
        this.ended = entity == null;
    }

    /**
     * Returns the status line and headers.
     *
     * @return the answer
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
     * @param name the name of the header, in any case
     * @return the value, or empty when the header is absent
     */
    public Optional<String> header(String name) {
        Header header = response.getFirstHeader(name);
        return Optional.ofNullable(header).map(Header::getValue);
    }

    /**
     * Reads a part of the body.
     *
     * @param bytes the place for the bytes
     * @return the number of bytes read, or -1 at the end of the body
     * @throws UpstreamException if the upstream is lost or the answer is not wanted any more
     */
    public int read(byte[] bytes) throws UpstreamException {
        if (ended) {
            return -1;
        }
        try {
            int count = content.read(bytes);
            ended = count < 0;
            return count;
        } catch (IOException e) {
            throw HttpClientPool.toUpstreamException(e, connection, "read answer");
        }
    }

    /**
     * Reads the rest of the body.
     *
     * @param maximumBytes the most bytes that are accepted
     * @return the bytes
     * @throws UpstreamException if the upstream is lost or its answer is larger
     */
    public byte[] readAll(int maximumBytes) throws UpstreamException {
        try {
            byte[] bytes = content.readNBytes(maximumBytes);
            ended = ended || content.read() < 0;
            if (!ended) {
                throw UpstreamException.of(Loss.CLOSED, "read answer", connection.address(), "the answer is too large");
            }
            return bytes;
        } catch (IOException e) {
            throw HttpClientPool.toUpstreamException(e, connection, "read answer");
        }
    }

    /** Closes the connection at once, which cancels the request at the upstream. May be called by any thread. */
    public void abort() {
        connection.abort();
    }

    /** Gives the connection back if the exchange is complete, else closes it. */
    @Override
    public void close() {
        if (released) {
            return;
        }
        released = true;
        boolean reusable = ended
                && !connection.isAborted()
                && connection.isConsistent()
                && DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, response, HttpCoreContext.create());
        pool.release(connection, reusable);
    }
}
