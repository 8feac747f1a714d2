package org.cactusshift.internal.transport.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.HttpServerRequestHandler.ResponseTrigger;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;

/** Checks the headers of a request and reads its body, within the limits of the listener. */
final class RequestReader {
    private static final int READ_BUFFER_BYTES = 8192;
    /**
     * How much of a body over the limit is read and discarded. Closing the connection on unread bytes would reset it
     * before the caller has read the response.
     */
    private static final long MAXIMUM_DISCARDED_BYTES = 8L * 1024 * 1024;

    private final ListenerSettings settings;

    RequestReader(ListenerSettings settings) {
        this.settings = settings;
    }

    void checkHeaders(ClassicHttpRequest request) throws HttpException {
        long headerBytes = 0;
        for (Header header : request.getHeaders()) {
            String value = header.getValue();
            headerBytes += header.getName().length() + (value == null ? 0 : value.length()) + ": \r\n".length();
        }
        if (headerBytes > settings.maximumHeaderBytes()) {
            throw new RequestRefusedException(
                    HttpStatus.SC_REQUEST_HEADER_FIELDS_TOO_LARGE, "the header section is too large");
        }
        Optional<String> fault = FramingCheck.faultOf(request);
        if (fault.isPresent()) {
            throw new RequestRefusedException(HttpStatus.SC_BAD_REQUEST, fault.get());
        }
    }

    byte[] readBody(ClassicHttpRequest request, ResponseTrigger trigger) throws HttpException, IOException {
        HttpEntity entity = request.getEntity();
        if (entity == null) {
            return new byte[0];
        }
        boolean expectsContinue = expectsContinue(request);
        if (entity.getContentLength() > settings.maximumBodyBytes()) {
            if (!expectsContinue) {
                discard(entity.getContent());
            }
            throw bodyTooLarge();
        }
        if (expectsContinue) {
            trigger.sendInformation(new BasicClassicHttpResponse(HttpStatus.SC_CONTINUE));
        }
        InputStream content = entity.getContent();
        byte[] body = readUpToLimit(content, entity.getContentLength());
        if (body.length > settings.maximumBodyBytes()) {
            discard(content);
            throw bodyTooLarge();
        }
        return body;
    }

    /** Reads the body, but stops soon after the limit; a result above the limit means that the body is too large. */
    private byte[] readUpToLimit(InputStream content, long contentLength) throws IOException {
        int initialCapacityBytes =
                contentLength == ContentLengthStrategy.CHUNKED ? READ_BUFFER_BYTES : (int) Math.max(contentLength, 0);
        // Capped, so that a large Content-Length alone reserves no memory.
        ByteArrayOutputStream body = new ByteArrayOutputStream(Math.min(initialCapacityBytes, READ_BUFFER_BYTES));
        byte[] chunk = new byte[READ_BUFFER_BYTES];
        int count = content.read(chunk);
        while (count >= 0 && body.size() <= settings.maximumBodyBytes()) {
            body.write(chunk, 0, count);
            count = content.read(chunk);
        }
        return body.toByteArray();
    }

    private static void discard(InputStream content) throws IOException {
        byte[] chunk = new byte[READ_BUFFER_BYTES];
        long remainingBytes = MAXIMUM_DISCARDED_BYTES;
        int count = 0;
        while (count >= 0 && remainingBytes > 0) {
            count = content.read(chunk);
            remainingBytes -= count;
        }
    }

    private RequestRefusedException bodyTooLarge() {
        return new RequestRefusedException(
                HttpStatus.SC_REQUEST_TOO_LONG, "the body is larger than " + settings.maximumBodyBytes() + " bytes");
    }

    private static boolean expectsContinue(ClassicHttpRequest request) {
        Header expect = request.getFirstHeader(HttpHeaders.EXPECT);
        return expect != null
                && expect.getValue() != null
                && expect.getValue().toLowerCase(Locale.ROOT).equals("100-continue");
    }
}
