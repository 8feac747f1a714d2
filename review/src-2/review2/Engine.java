package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** An engine that can crash and start again under its id and at its address. */
final class Engine implements AutoCloseable {
    /** A request as received. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** Answers a request; called on the thread of the connection. */
    interface Script {
        void respond(Request request, OutputStream out, String version) throws IOException, InterruptedException;
    }

    final String id;
    final int port;
    final Script script;
    final List<Request> requests = new CopyOnWriteArrayList<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listening;
    volatile String version = "v1";

    Engine(String id, Script script) throws IOException {
        this.id = id;
        this.script = script;
        this.port = Site.freePorts(1)[0];
        start();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    void start() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
        listening = socket;
        String bootVersion = version;
        Thread acceptor = new Thread(() -> accept(socket, bootVersion));
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Ends like a killed process: the listening socket and all connections are gone at once. */
    void crash() throws IOException {
        listening.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        sockets.clear();
    }

    private void accept(ServerSocket server, String bootVersion) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread worker = new Thread(() -> serve(socket, bootVersion));
                worker.setDaemon(true);
                worker.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, String bootVersion) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Request request = read(in);
                if (request == null) {
                    return;
                }
                String expected = request.header("expect-instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    socket.getOutputStream()
                            .write(("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request.header("request-id")
                                            + "\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                requests.add(request);
                script.respond(request, socket.getOutputStream(), bootVersion);
            }
        } catch (IOException e) {
            // The connection was closed by the node or by a crash of this engine.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    private static Request read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        String[] start = line.split(" ");
        Map<String, String> headers = new TreeMap<>();
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new Request(start[0], start[1], headers, body);
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

    @Override
    public void close() throws IOException {
        crash();
    }
}
