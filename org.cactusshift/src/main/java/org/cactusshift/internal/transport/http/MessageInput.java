package org.cactusshift.internal.transport.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;

/**
 * Makes the end of a connection inside a message an error. HttpCore takes the end of the stream for the end of a line,
 * of a head and of the trailers, so that a message that was cut there would be complete.
 */
final class MessageInput {
    private MessageInput() {}

    static HttpMessageParserFactory<ClassicHttpRequest> requestParsers() {
        return config -> completeHeads(DefaultHttpRequestParserFactory.INSTANCE, config);
    }

    static HttpMessageParserFactory<ClassicHttpResponse> responseParsers() {
        return config -> completeHeads(DefaultHttpResponseParserFactory.INSTANCE, config);
    }

    private static <T extends MessageHeaders> HttpMessageParser<T> completeHeads(
            HttpMessageParserFactory<T> factory, Http1Config config) {
        HttpMessageParser<T> parser = factory.create(config);
        return (buffer, stream) -> parser.parse(buffer, new EndCheckingInputStream(stream, buffer.length() > 0));
    }

    /**
     * Returns the stream for the body of a message. Only a body that is framed neither by a length nor by chunks ends
     * with the connection.
     *
     * @param length the length of the body, or a constant of {@link ContentLengthStrategy}
     * @param stream the stream of the connection
     * @return the stream to read the body from
     */
    static InputStream forBody(long length, InputStream stream) {
        return length == ContentLengthStrategy.CHUNKED ? new EndCheckingInputStream(stream, true) : stream;
    }

    /** Fails at the end of the stream, except before the first byte of a head. */
    private static final class EndCheckingInputStream extends FilterInputStream {
        private boolean started;

        EndCheckingInputStream(InputStream in, boolean started) {
            super(in);
            this.started = started;
        }

        @Override
        public int read() throws IOException {
            return check(in.read());
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            return check(in.read(bytes, offset, length));
        }

        private int check(int result) throws IOException {
            if (result < 0 && started) {
                throw new ConnectionClosedException("the connection ended inside a message");
            }
            started |= result >= 0;
            return result;
        }
    }
}
