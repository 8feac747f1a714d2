package org.cactusshift.internal.transport.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream on a loopback socket whose responses a script writes as raw bytes. */
public final class ScriptedServer implements Closeable {
    /**
     * A request as it was received.
     *
     * @param line the request line
     * @param headers the header lines, as {@code Name: value}
     * @param body the body
     * @param connection the number of the connection, from 1
     */
    public record Received(String line, List<String> headers, String body, int connection) {
        /** Returns the value of the first header with the name, or null if it is absent. */
        public String header(String name) {
            String prefix = name.toLowerCase(Locale.ROOT) + ":";
            return headers.stream()
                    .filter(header -> header.toLowerCase(Locale.ROOT).startsWith(prefix))
                    .map(header -> header.substring(prefix.length()).trim())
                    .findFirst()
                    .orElse(null);
        }
    }

    /** Responds to one request; an exception closes the connection. */
    @FunctionalInterface
    public interface Script {
        void respond(Received request, Socket socket, OutputStream out) throws Exception;
    }

    private final ServerSocket serverSocket;
    private final Script script;
    private final List<Received> receivedRequests = new CopyOnWriteArrayList<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger connectionCount = new AtomicInteger();

    private ScriptedServer(ServerSocket serverSocket, Script script) {
        this.serverSocket = serverSocket;
        this.script = script;
    }

    public static ScriptedServer start(Script script) throws IOException {
        ScriptedServer server = new ScriptedServer(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), script);
        spawn(server::acceptLoop);
        return server;
    }

    private static void spawn(Runnable task) {
        Thread thread = new Thread(task, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    public String address() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    public List<Received> receivedRequests() {
        return receivedRequests;
    }

    public int connectionCount() {
        return connectionCount.get();
    }

    private void acceptLoop() {
        try {
            while (true) {
                Socket socket = serverSocket.accept();
                sockets.add(socket);
                int number = connectionCount.incrementAndGet();
                spawn(() -> serve(socket, number));
            }
        } catch (IOException e) {
            // The test has ended.
        }
    }

    private void serve(Socket socket, int number) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Received request = read(in, socket.getOutputStream(), number);
            while (request != null) {
                receivedRequests.add(request);
                script.respond(request, socket, socket.getOutputStream());
                request = read(in, socket.getOutputStream(), number);
            }
        } catch (Exception e) {
            // The script failed, the request was malformed or the connection was closed; the connection ends.
        } finally {
            sockets.remove(socket);
        }
    }

    private static Received read(InputStream in, OutputStream out, int number) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        List<String> headers = new CopyOnWriteArrayList<>();
        int length = 0;
        String header = readLine(in);
        while (header != null && !header.isEmpty()) {
            headers.add(header);
            if (header.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(
                        header.substring("content-length:".length()).trim());
            }
            if (header.equalsIgnoreCase("expect: 100-continue")) {
                out.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
            header = readLine(in);
        }
        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        return new Received(line, headers, body, number);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        while (b >= 0 && b != '\n') {
            if (b != '\r') {
                line.write(b);
            }
            b = in.read();
        }
        return b < 0 && line.size() == 0 ? null : line.toString(StandardCharsets.UTF_8);
    }

    /** Writes a complete response; each header line ends with CRLF, and {@code Content-Length} is added. */
    public static void writeResponse(OutputStream out, int status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        out.write(("HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        out.write(bytes);
        out.flush();
    }

    /** Writes one chunk of a chunked body. */
    public static void writeChunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
