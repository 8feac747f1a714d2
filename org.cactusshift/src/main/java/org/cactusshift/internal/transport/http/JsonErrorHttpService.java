package org.cactusshift.internal.transport.http;

import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionReuseStrategy;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.MethodNotSupportedException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.UnsupportedHttpVersionException;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.protocol.HttpProcessor;

/**
 * Responds with the JSON error of the API to requests that can't be parsed or that the listener refuses, and states
 * that they were not run.
 */
final class JsonErrorHttpService extends HttpService {
    /** The response header that states whether a request may have run; always not-run here. */
    static final String OUTCOME_HEADER = "x-cactusshift-outcome";

    JsonErrorHttpService(HttpProcessor processor, HttpServerRequestHandler handler, ConnectionReuseStrategy reuse) {
        super(processor, handler, reuse, null);
    }

    @Override
    protected void handleException(HttpException exception, ClassicHttpResponse response) {
        int status = statusOf(exception);
        response.setCode(status);
        response.setHeader(OUTCOME_HEADER, "not-run");
        // The parser's messages quote the request, so only the listener's own messages are sent to the caller.
        String message = exception instanceof RequestRefusedException ? exception.getMessage() : "malformed request";
        String json = "{\"error\":{\"message\":\"" + message
                + "\",\"type\":\"invalid_request_error\",\"param\":null,\"code\":\"bad_request\"}}";
        response.setEntity(new ByteArrayEntity(json.getBytes(StandardCharsets.UTF_8), ContentType.APPLICATION_JSON));
    }

    private static int statusOf(HttpException exception) {
        if (exception instanceof RequestRefusedException) {
            return ((RequestRefusedException) exception).status();
        }
        if (exception instanceof RequestHeaderFieldsTooLargeException) {
            return HttpStatus.SC_REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        if (exception instanceof MethodNotSupportedException) {
            return HttpStatus.SC_NOT_IMPLEMENTED;
        }
        if (exception instanceof UnsupportedHttpVersionException) {
            return HttpStatus.SC_HTTP_VERSION_NOT_SUPPORTED;
        }
        return HttpStatus.SC_BAD_REQUEST;
    }
}
