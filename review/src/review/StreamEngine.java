package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An engine that writes streams: each event names the software version that wrote it. */
final class StreamEngine extends Engine {
    private final int events;

    StreamEngine(
            Record record, Store store, String id, String service, String zone, String version, int slots, int events, long gapMillis)
            throws IOException {
        super(record, store, id, service, zone, version, slots, gapMillis);
        this.events = events;
    }

    @Override
    protected void run(Http.Message request, Socket socket) throws IOException {
        String last = request.header("Last-Event-Id");
        int next = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n" + commonHeaders(request)
                + "Response-Signature: " + Integer.toHexString(request.header("Request-Id").hashCode())
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = next; event <= events; event++) {
            String text = "id: " + event + "\ndata: " + version + " " + id + "\n\n";
            write(socket, head + Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            head.setLength(0);
            Http.sleep(workMillis);
        }
        write(socket, head + "0\r\n\r\n");
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }
}
