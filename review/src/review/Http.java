package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A minimal HTTP/1.1 server and message reader over plain sockets. */
final class Http {
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(java.util.Locale.ROOT), "");
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles the requests of a connection; may write to the socket, or close it. */
    interface Handler {
        void handle(Message request, Socket socket) throws IOException;
    }

    /** A listening server with one thread a connection. */
    static final class Server {
        private final ServerSocket listening;
        private final Handler handler;
        private final List<Socket> sockets = new ArrayList<>();
        private volatile boolean refusing;

        Server(Handler handler) throws IOException {
            this(0, handler);
        }

        Server(int port, Handler handler) throws IOException {
            this.handler = handler;
            listening = new ServerSocket();
            listening.setReuseAddress(true);
            listening.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
            daemon(this::accept);
        }

        String address() {
            return "127.0.0.1:" + listening.getLocalPort();
        }

        int port() {
            return listening.getLocalPort();
        }

        /** While refusing, connections are closed as soon as they are accepted. */
        void setRefusing(boolean value) {
            refusing = value;
            if (value) {
                resetAll();
            }
        }

        void resetAll() {
            synchronized (sockets) {
                for (Socket socket : sockets) {
                    try {
                        socket.setSoLinger(true, 0);
                        socket.close();
                    } catch (IOException e) {
                        continue;
                    }
                }
                sockets.clear();
            }
        }

        void close() {
            try {
                listening.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            resetAll();
        }

        private void accept() {
            while (!listening.isClosed()) {
                try {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    if (refusing) {
                        socket.close();
                        continue;
                    }
                    synchronized (sockets) {
                        sockets.removeIf(Socket::isClosed);
                        sockets.add(socket);
                    }
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message request = read(in, false); request != null; request = read(in, false)) {
                    handler.handle(request, socket);
                    if (socket.isClosed()) {
                        return;
                    }
                }
            } catch (IOException e) {
                return;
            }
        }
    }

    private Http() {}

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads a message; null at the end of the stream. A response without a length ends with its connection. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = headers(in);
        byte[] body;
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new IOException("ended inside a chunked body");
                }
                int length = Integer.parseInt(size.trim(), 16);
                byte[] part = in.readNBytes(length);
                if (part.length < length || line(in) == null) {
                    throw new IOException("ended inside a chunk");
                }
                if (length == 0) {
                    break;
                }
                out.writeBytes(part);
            }
            body = out.toByteArray();
        } else if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new IOException("ended inside a body");
            }
        } else {
            body = isResponse ? in.readAllBytes() : new byte[0];
        }
        return new Message(start, headers, body);
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(java.util.Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        return headers;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void respond(Socket socket, int status, String extraHeaders, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("HTTP/1.1 " + status + " X\r\n" + extraHeaders + "Content-Length: " + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(bytes);
        OutputStream target = socket.getOutputStream();
        target.write(out.toByteArray());
        target.flush();
    }
}
