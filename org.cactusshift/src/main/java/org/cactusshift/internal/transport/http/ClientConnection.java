package org.cactusshift.internal.transport.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/** An HTTP/1.1 connection to a server on which a response that was cut is an error. */
public class ClientConnection extends DefaultBHttpClientConnection {
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
    protected InputStream createContentInputStream(long length, SessionInputBuffer buffer, InputStream stream) {
        return super.createContentInputStream(length, buffer, MessageInput.forBody(length, stream));
    }
}
