package org.cactusshift.internal.transport.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * An HTTP/1.1 connection to a server on which a response that was cut is an error, as is one with a status that HTTP
 * does not define, with a switch of the protocol, which no request asks for, or with a body whose end is not certain.
 */
public class ClientConnection extends DefaultBHttpClientConnection {
    private static final int LAST_FINAL_STATUS = 599;

    /**
     * Creates a connection that is bound to no socket yet.
     *
     * @param config the limits
     */
    protected ClientConnection(Http1Config config) {
        super(config, null, null, null, null, null, MessageInput.responseParsers());
    }

    /**
     * Creates a connection with the default limits.
     *
     * @param socket the connected socket
     * @return the connection
     * @throws IOException if the socket can't be used
     */
    public static ClientConnection bindTo(Socket socket) throws IOException {
        ClientConnection connection = new ClientConnection(Http1Config.DEFAULT);
        connection.bind(socket);
        return connection;
    }

    @Override
    public ClassicHttpResponse receiveResponseHeader() throws HttpException, IOException {
        ClassicHttpResponse response;
        try {
            response = super.receiveResponseHeader();
        } catch (IllegalArgumentException e) {
            // HttpCore accepts status 000 in a status line but not in a response.
            throw new ProtocolException("the status is not defined by HTTP", e);
        }
        int code = response.getCode();
        if (code < HttpStatus.SC_CONTINUE || code > LAST_FINAL_STATUS) {
            throw new ProtocolException("status " + code + " is not defined by HTTP");
        }
        if (code == HttpStatus.SC_SWITCHING_PROTOCOLS) {
            throw new ProtocolException("the server switches to another protocol");
        }
        Optional<String> fault = FramingCheck.faultOf(response);
        if (fault.isPresent()) {
            throw new ProtocolException(fault.get());
        }
        return response;
    }

    @Override
    protected InputStream createContentInputStream(long length, SessionInputBuffer buffer, InputStream stream) {
        return super.createContentInputStream(length, buffer, MessageInput.forBody(length, stream));
    }
}
