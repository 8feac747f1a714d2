package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Many users come at once; each keeps its connection, and sends a body within the limits of the config. */
final class HeldBodies {
    private static final int BODY_BYTES = Integer.getInteger("body", 500_000);
    private static final int WORK_MILLIS = Integer.getInteger("work", 600);
    private static final int USUAL_PER_SECOND = Integer.getInteger("rate", 40);
    private static final int REQUESTS = Integer.getInteger("requests", 1_100);

    /** Each fifth body is shorter: 10,000 to 49,000 bytes. */
    private static int bodyBytes(int number) {
        return number % 5 == 4 ? 10_000 + number * 37 % 40 * 1_000 : BODY_BYTES;
    }

    /** Users of another kind, who have small payments all the time, in both runs. */
    private static final int SMALL_USERS = 60;

    private static final int SMALL_BYTES = 600;
    private static final int SMALL_WORK_MILLIS = 30;
    private static final int SMALL_PAUSE_MILLIS = 700;

    /** The users at usual times; in the burst each request is that of a user of its own. */
    private static final int USUAL_USERS = 60;

    private final Site.Record record;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final Map<String, String> outcomes = new ConcurrentHashMap<>();

    private HeldBodies(Site.Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        int exit = 2;
        try (Site.Record record = new Site.Record(Path.of(arguments[0], "record.txt"))) {
            exit = new HeldBodies(record).run(!"0".equals(System.getenv("TROUBLE")));
            record.add("exit " + exit);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private void respond(Engine.Request request, OutputStream out, String version)
            throws IOException, InterruptedException {
        String id = request.header("request-id");
        if (id.startsWith("pay")) {
            ran.add(id);
            record.add("an engine runs " + id + ", body of " + request.body().length + " bytes");
            Thread.sleep(WORK_MILLIS);
        } else if (id.startsWith("small")) {
            ran.add(id);
            Thread.sleep(SMALL_WORK_MILLIS);
        }
        out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok")
                .getBytes(StandardCharsets.ISO_8859_1));
    }

    private int run(boolean trouble) throws Exception {
        try (Site site = new Site(Path.of("."), record)) {
            List<Engine> engines = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                Engine engine = new Engine("i-" + i, this::respond);
                engines.add(engine);
                site.putEngine(engine.id, "app", engine.address(), "");
            }
            site.putConfig(
                    1,
                    List.of(
                            Site.route("pay", "non_idempotent", "app", false, 5000),
                            Site.route("read", "idempotent", "app", false, 1500)),
                    "{\"name\":\"app\",\"health_check\":\"/healthz\",\"max_connections\":110}");
            Site.Node node = site.addNode("front-z1-1", "z1");
            node.start();
            if (!node.awaitReady(15_000)) {
                return 2;
            }
            // In touch: longer than contact_ms.
            Thread.sleep(4_000);
            List<Socket> kept = new ArrayList<>();
            int users = trouble ? REQUESTS : USUAL_USERS;
            for (int i = 0; i < users + SMALL_USERS; i++) {
                Socket socket = new Socket("127.0.0.1", node.front);
                socket.setSoTimeout(8_000);
                kept.add(socket);
                String answer = exchange(socket, "GET", "read" + i, 0);
                if (!answer.startsWith("200")) {
                    record.add("the first request of a connection got " + answer);
                    return 2;
                }
            }
            record.add(users + SMALL_USERS + " kept connections, each has had an answer");
            int perSecond = trouble ? 2 * USUAL_PER_SECOND : USUAL_PER_SECOND;
            ScheduledExecutorService clients = Executors.newScheduledThreadPool(REQUESTS);
            CountDownLatch ended = new CountDownLatch(REQUESTS);
            for (int i = 0; i < REQUESTS; i++) {
                int number = i;
                clients.schedule(
                        () -> {
                            String id = "pay" + number;
                            record.add("sent " + id);
                            String answer = exchange(kept.get(number % users), "POST", id, bodyBytes(number));
                            outcomes.put(id, answer);
                            record.add(id + " got " + answer);
                            ended.countDown();
                        },
                        i * 1_000_000L / perSecond,
                        TimeUnit.MICROSECONDS);
            }
            List<Thread> small = new ArrayList<>();
            for (int i = 0; i < SMALL_USERS; i++) {
                int user = i;
                Thread thread = new Thread(() -> pay(kept.get(users + user), user, ended));
                thread.setDaemon(true);
                thread.start();
                small.add(thread);
            }
            ended.await(45, TimeUnit.SECONDS);
            for (Thread thread : small) {
                thread.join(6_000);
            }
            int lost = 0;
            int served = 0;
            int refused = 0;
            for (Map.Entry<String, String> outcome : outcomes.entrySet()) {
                served += outcome.getValue().startsWith("200") ? 1 : 0;
                refused += outcome.getValue().startsWith("503") ? 1 : 0;
                lost += outcome.getValue().startsWith("no answer") && ran.contains(outcome.getKey()) ? 1 : 0;
            }
            boolean alive = node.process.isAlive();
            String result = users + " users, sent " + REQUESTS + " of up to " + BODY_BYTES + " bytes at " + perSecond + " a second beside " + SMALL_USERS + " users with small ones; of all " + outcomes.size() + " served " + served + ", refused "
                    + refused + ", passed on to a sound engine and closed without an answer " + lost + ", process "
                    + (alive ? "alive" : "ended by itself with status " + node.process.exitValue());
            record.add(result);
            System.out.println(result);
            for (String line : Files.readAllLines(node.log)) {
                if (!line.startsWith("{") || line.contains("OutOfMemory")) {
                    record.add("log: " + line);
                }
            }
            for (Engine engine : engines) {
                engine.close();
            }
            clients.shutdownNow();
            return lost > 3 ? 1 : 0;
        }
    }

    /** Sends small payments until the large ones have ended or the connection is closed. */
    private void pay(Socket socket, int user, CountDownLatch ended) {
        try {
            for (int number = 0; ended.getCount() > 0; number++) {
                String id = "small" + user + "-" + number;
                String answer = exchange(socket, "POST", id, SMALL_BYTES);
                outcomes.put(id, answer);
                if (!answer.startsWith("200")) {
                    record.add(id + " got " + answer);
                }
                if (answer.startsWith("no answer")) {
                    return;
                }
                Thread.sleep(SMALL_PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String exchange(Socket socket, String method, String id, int bodyBytes) {
        try {
            OutputStream out = socket.getOutputStream();
            out.write((method + (method.equals("GET") ? " /read/x" : " /pay/x") + " HTTP/1.1\r\nHost: h.example\r\n"
                            + "Request-Id: " + id + "\r\nDeadline-Ms: " + (method.equals("GET") ? 1500 : 5000)
                            + "\r\nCredential: key-1\r\nContent-Length: " + bodyBytes + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(new byte[bodyBytes]);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String status = Engine.line(in);
            if (status == null) {
                return "no answer, the connection was closed";
            }
            int length = 0;
            for (String header = Engine.line(in); header != null && !header.isEmpty(); header = Engine.line(in)) {
                if (header.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(header.substring(header.indexOf(':') + 1).trim());
                }
            }
            byte[] body = in.readNBytes(length);
            return status.substring(9) + (body.length == length ? "" : ", cut");
        } catch (IOException e) {
            return "no answer, " + e.getMessage();
        }
    }
}
