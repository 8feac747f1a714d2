package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;

/** The body of a request looks like another request, and the transfer coding of that body isn't chunked at last. */
final class Smuggled {
    private static final String INNER_ID = "1111222233334444";

    private final Site.Record record;
    private final Set<String> sent = new ConcurrentSkipListSet<>();
    private final Set<String> ran = new ConcurrentSkipListSet<>();

    private Smuggled(Site.Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Site.Record record = new Site.Record(Path.of(arguments[0], "record.txt"))) {
            exit = new Smuggled(record).run(!"0".equals(System.getenv("TROUBLE")));
            record.add("exit " + exit);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private void respond(Engine.Request request, OutputStream out, String version) throws IOException {
        String id = request.header("request-id");
        ran.add(id);
        record.add("the engine runs " + request.method() + " " + request.target() + ", Request-Id " + id + ", Tenant "
                + request.header("tenant") + ", body of " + request.body().length + " bytes");
        out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok")
                .getBytes(StandardCharsets.ISO_8859_1));
    }

    private int run(boolean trouble) throws Exception {
        try (Site site = new Site(Path.of("."), record)) {
            Engine engine = new Engine("i-0", this::respond);
            site.putEngine(engine.id, "app", engine.address(), "");
            site.putConfig(
                    1,
                    List.of(Site.route("pay", "non_idempotent", "app", false, 1500)),
                    "{\"name\":\"app\",\"health_check\":\"/healthz\",\"max_connections\":110}");
            Site.Node node = site.addNode("front-z1-1", "z1");
            node.start();
            if (!node.awaitReady(15_000)) {
                return 2;
            }
            // In touch: longer than contact_ms.
            Thread.sleep(4_000);
            String inner = "POST /pay/inner HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + INNER_ID
                    + "\r\nDeadline-Ms: 1500\r\nCredential: " + Site.KEY + "\r\nContent-Length: 0\r\n\r\n";
            String chunked = Integer.toHexString(inner.length()) + "\r\n" + inner + "\r\n0\r\n\r\n";
            List<String> codings = trouble ? List.of("gzip", "identity", "xchunked") : List.of("chunked");
            for (String coding : codings) {
                String id = "aaaa0000" + Integer.toHexString(coding.hashCode());
                sent.add(id);
                record.add("a client sends " + id + " with Transfer-Encoding: " + coding
                        + "; its body is the text of another request, " + INNER_ID);
                String request = "POST /pay/outer HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                        + "\r\nDeadline-Ms: 1500\r\nCredential: " + Site.KEY + "\r\nTransfer-Encoding: " + coding
                        + "\r\n\r\n" + (trouble ? inner : chunked);
                try (Socket socket = new Socket("127.0.0.1", node.front)) {
                    socket.setSoTimeout(1_000);
                    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    byte[] received = new byte[8_192];
                    StringBuilder answers = new StringBuilder();
                    try {
                        for (int count = in.read(received); count >= 0; count = in.read(received)) {
                            answers.append(new String(received, 0, count, StandardCharsets.ISO_8859_1));
                        }
                        answers.append(" (closed)");
                    } catch (IOException e) {
                        answers.append(" (no more for a second)");
                    }
                    record.add("the client gets " + answers.toString().replace("\r\n", "|"));
                }
            }
            Set<String> notSent = new ConcurrentSkipListSet<>(ran);
            notSent.removeAll(sent);
            record.add("run though no client sent it: " + notSent);
            System.out.println("run though no client sent it: " + notSent);
            boolean outerRan = !trouble && !ran.containsAll(sent);
            engine.close();
            return outerRan ? 2 : notSent.isEmpty() ? 0 : 1;
        }
    }
}
