import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.function.*;
import java.util.regex.*;

/** Small stand-ins for the platform: store, engines, platform API, clients; and node processes as deployed. */
final class Kit {
    static final long START = System.nanoTime();

    private Kit() {}

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void background(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** What was sent, answered and run, one line each. */
    static final class Record {
        private final PrintWriter out;

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        }

        synchronized void line(String format, Object... args) {
            out.printf("%7d ms  %s%n", now(), String.format(format, args));
        }
    }

    static final class Request {
        String method;
        String target;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String query(String name) {
            Matcher m = Pattern.compile("[?&]" + name + "=([^&]*)").matcher(target);
            return m.find() ? URLDecoder.decode(m.group(1), StandardCharsets.UTF_8) : "";
        }
    }

    static final class Conn {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Conn(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 65_536);
            out = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    interface Handler {
        void handle(Request request, Conn conn) throws Exception;
    }

    /** An HTTP/1.1 server with one thread for each connection. */
    static final class Server {
        final ServerSocket listener;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        volatile boolean down;

        Server(Handler handler) throws IOException {
            listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            background("accept", () -> {
                while (!listener.isClosed()) {
                    try {
                        Socket socket = listener.accept();
                        if (down) {
                            socket.setSoLinger(true, 0);
                            socket.close();
                            continue;
                        }
                        open.add(socket);
                        background("conn", () -> serve(socket, handler));
                    } catch (IOException e) {
                        // Goes on until the listener is closed.
                    }
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        void setDown(boolean newDown) {
            down = newDown;
            if (newDown) {
                for (Socket socket : open) {
                    try {
                        socket.setSoLinger(true, 0);
                        socket.close();
                    } catch (IOException e) {
                        // Closed already.
                    }
                }
            }
        }

        private void serve(Socket socket, Handler handler) {
            try (socket) {
                Conn conn = new Conn(socket);
                for (Request request = readRequest(conn.in); request != null; request = readRequest(conn.in)) {
                    handler.handle(request, conn);
                    if (socket.isClosed()) {
                        return;
                    }
                }
            } catch (Exception e) {
                // The peer closed the connection, or the handler ended it.
            } finally {
                open.remove(socket);
            }
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null || line.isEmpty()) {
            return null;
        }
        Request request = new Request();
        String[] parts = line.split(" ");
        request.method = parts[0];
        request.target = parts[1];
        readHeaders(in, request.headers);
        int length = Integer.parseInt(request.headers.getOrDefault("Content-Length", "0"));
        request.body = in.readNBytes(length);
        return request;
    }

    static String response(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    /** The platform's store: conditional writes, leases, watches, and an era that rises when it is restored. */
    static final class Store {
        record Item(String value, long revision, long created, long lease) {}

        record Change(String key, Item item, long revision) {}

        record Lease(long ttl, long until) {}

        TreeMap<String, Item> items = new TreeMap<>();
        List<Change> history = new ArrayList<>();
        Map<Long, Lease> leases = new HashMap<>();
        long revision = 10;
        long nextLease = 100;
        long era = 1;
        final Server server;
        final List<BiConsumer<String, String>> writeListeners = new CopyOnWriteArrayList<>();

        Store() throws IOException {
            server = new Server(this::handle);
        }

        record Copy(TreeMap<String, Item> items, List<Change> history, Map<Long, Lease> leases, long rev, long next) {}

        synchronized Copy copy() {
            expire();
            return new Copy(new TreeMap<>(items), new ArrayList<>(history), new HashMap<>(leases), revision, nextLease);
        }

        synchronized void restore(Copy copy) {
            items = new TreeMap<>(copy.items);
            history = new ArrayList<>(copy.history);
            leases = new HashMap<>();
            copy.leases.forEach((id, lease) -> leases.put(id, new Lease(lease.ttl, now() + lease.ttl)));
            revision = copy.rev;
            nextLease = copy.next;
            era++;
            notifyAll();
        }

        synchronized void put(String key, String value) {
            write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
            notifyAll();
        }

        synchronized void remove(String key) {
            if (items.remove(key) != null) {
                history.add(new Change(key, null, ++revision));
                notifyAll();
            }
        }

        synchronized String value(String key) {
            Item item = items.get(key);
            return item == null ? null : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
        }

        synchronized Set<String> keys(String prefix) {
            expire();
            return new TreeSet<>(items.tailMap(prefix).headMap(prefix + "\uffff").keySet());
        }

        private void write(String key, String base64, long lease) {
            Item before = items.get(key);
            revision++;
            Item item = new Item(base64, revision, before == null ? revision : before.created, lease);
            items.put(key, item);
            history.add(new Change(key, item, revision));
        }

        private void expire() {
            List<Long> ended = new ArrayList<>();
            leases.forEach((id, lease) -> {
                if (now() >= lease.until) {
                    ended.add(id);
                }
            });
            ended.forEach(this::end);
        }

        private void end(long id) {
            if (leases.remove(id) == null) {
                return;
            }
            for (String key : new ArrayList<>(items.keySet())) {
                if (items.get(key).lease == id) {
                    remove(key);
                }
            }
        }

        private static String json(String key, Item item) {
            return "{\"key\":\"" + key + "\",\"value\":\"" + item.value + "\",\"revision\":" + item.revision
                    + ",\"created_rev\":" + item.created + ",\"lease\":" + item.lease + "}";
        }

        private void handle(Request request, Conn conn) throws Exception {
            String path = request.target.replaceAll("\\?.*", "");
            String[] answer;
            if (path.equals("/-/kv-watch")) {
                answer = watch(request);
            } else {
                synchronized (this) {
                    expire();
                    answer = answer(request, path);
                    notifyAll();
                }
            }
            long statedEra;
            synchronized (this) {
                statedEra = era;
            }
            conn.write(Kit.response(
                    Integer.parseInt(answer[0]),
                    "Content-Type: application/json\r\nStore-Era: " + statedEra + "\r\n",
                    answer[1]));
        }

        private synchronized String[] watch(Request request) throws InterruptedException {
            long after = Long.parseLong(request.query("after"));
            long until = now() + Long.parseLong(request.query("wait_ms"));
            String prefix = request.query("path_prefix");
            long askedInEra = era;
            while (true) {
                expire();
                if (after > revision || era != askedInEra) {
                    return new String[] {"410", "{}"};
                }
                StringJoiner events = new StringJoiner(",", "[", "]");
                boolean any = false;
                for (Change change : history) {
                    if (change.revision > after && change.key.startsWith(prefix)) {
                        any = true;
                        events.add(
                                change.item != null
                                        ? json(change.key, change.item)
                                        : "{\"key\":\"" + change.key + "\",\"revision\":" + change.revision
                                                + ",\"removed\":true}");
                    }
                }
                if (any || now() >= until) {
                    return new String[] {"200", "{\"events\":" + events + ",\"current_rev\":" + revision + "}"};
                }
                wait(Math.max(1, Math.min(100, until - now())));
            }
        }

        private String[] answer(Request request, String path) {
            String body = request.text();
            if (path.equals("/-/kv-range")) {
                StringJoiner listed = new StringJoiner(",", "[", "]");
                items.forEach((key, item) -> {
                    if (key.startsWith(request.query("path_prefix")) && key.compareTo(request.query("after")) > 0) {
                        listed.add(json(key, item));
                    }
                });
                return new String[] {
                    "200", "{\"items\":" + listed + ",\"has_more\":false,\"current_rev\":" + revision + "}"
                };
            } else if (path.equals("/-/kv-key")) {
                Item item = items.get(request.query("key"));
                return item == null
                        ? new String[] {"404", "{}"}
                        : new String[] {
                            "200", json(request.query("key"), item).replaceAll("}$", ",\"current_rev\":" + revision + "}")
                        };
            } else if (path.equals("/-/kv-lease")) {
                long ttl = Long.parseLong(find(body, "\"ttl_ms\":(\\d+)"));
                long id = nextLease++;
                leases.put(id, new Lease(ttl, now() + ttl));
                return new String[] {"200", "{\"lease\":" + id + ",\"ttl_ms\":" + ttl + "}"};
            } else if (path.startsWith("/-/kv-keep/")) {
                long id = Long.parseLong(path.substring("/-/kv-keep/".length()));
                Lease lease = leases.get(id);
                if (lease == null) {
                    return new String[] {"404", "{}"};
                }
                leases.put(id, new Lease(lease.ttl, now() + lease.ttl));
                return new String[] {"200", "{\"ttl_ms\":" + lease.ttl + "}"};
            } else if (path.startsWith("/-/kv-lease-end/")) {
                end(Long.parseLong(path.substring("/-/kv-lease-end/".length())));
                return new String[] {"200", "{}"};
            } else if (path.equals("/-/kv-txn")) {
                return transact(body);
            }
            return new String[] {"404", "{}"};
        }

        private static String find(String text, String pattern) {
            Matcher m = Pattern.compile(pattern).matcher(text);
            return m.find() ? m.group(1) : "";
        }

        private String[] transact(String body) {
            String expectedPart = find(body, "\"expected\":\\[(.*?)\\]");
            String writesPart = find(body, "\"writes\":\\[(.*?)\\]");
            String removePart = find(body, "\"remove\":\\[(.*?)\\]");
            Matcher expected =
                    Pattern.compile("\"key\":\"([^\"]+)\",\"revision\":(\\d+)").matcher(expectedPart);
            boolean met = true;
            StringJoiner found = new StringJoiner(",", "[", "]");
            while (expected.find()) {
                Item item = items.get(expected.group(1));
                met &= Long.parseLong(expected.group(2)) == (item == null ? 0 : item.revision);
                if (item != null) {
                    found.add(json(expected.group(1), item));
                }
            }
            if (!met) {
                return new String[] {"412", "{\"items\":" + found + "}"};
            }
            Matcher write = Pattern.compile("\"key\":\"([^\"]+)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)")
                    .matcher(writesPart);
            List<Runnable> told = new ArrayList<>();
            while (write.find()) {
                long lease = Long.parseLong(write.group(3));
                if (lease != 0 && !leases.containsKey(lease)) {
                    return new String[] {"404", "{}"};
                }
                write(write.group(1), write.group(2), lease);
                String key = write.group(1);
                String value = value(key);
                told.add(() -> writeListeners.forEach(listener -> listener.accept(key, value)));
            }
            Matcher removed = Pattern.compile("\"([^\"]+)\"").matcher(removePart);
            while (removed.find()) {
                remove(removed.group(1));
            }
            told.forEach(Runnable::run);
            return new String[] {"200", "{\"revision\":" + revision + "}"};
        }
    }

    /** A node process with the command and the settings template of the deploy file. */
    static final class Node {
        final String name;
        final String zone;
        final Path directory;
        final int callers = freePort();
        final int ready = freePort();
        final int peers = freePort();
        final int metrics = freePort();
        final String store;
        final String cloud;
        Process process;

        Node(String name, String zone, Path directory, String store, String cloud) throws IOException {
            this.name = name;
            this.zone = zone;
            this.directory = directory;
            this.store = store;
            this.cloud = cloud;
        }

        void start() throws IOException {
            Path root = Path.of("").toAbsolutePath();
            String deploy = Files.readString(root.resolve("deploy/system.toml"));
            String run = Store.find(deploy, "(?m)^run = \"(.*)\"$");
            Map<String, String> fields = new HashMap<>();
            fields.put("node", quote(name));
            fields.put("zone", quote(zone));
            fields.put("listen.front", quote("127.0.0.1:" + callers));
            fields.put("listen.ready", quote("127.0.0.1:" + ready));
            fields.put("ip", "127.0.0.1");
            fields.put("internal_ports.0", "" + peers);
            fields.put("internal_ports.1", "" + metrics);
            fields.put("platform.address", quote(store));
            fields.put("cloud.address", quote(cloud));
            fields.put("bounds.retry_budget_ratio", "0.2");
            fields.put("bounds.budget_extra", "56");
            fields.put("bounds.budget_window_s", "10");
            fields.put("bounds.lease_ms", "3000");
            fields.put("bounds.usage_window_s", "5");
            fields.put("bounds.config_apply_ms", "2000");
            fields.put("bounds.drain_ms", "2000");
            fields.put("bounds.grace_s", "8");
            String template = Files.readString(root.resolve(Store.find(deploy, "template = \"(.*)\"")));
            Matcher placeholder = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?\\}\\}").matcher(template);
            String settings = placeholder.replaceAll(found -> Matcher.quoteReplacement(fields.get(found.group(1))));
            Path file = directory.resolve(name + ".json");
            Files.writeString(file, settings);
            ProcessBuilder builder = new ProcessBuilder(run.split(" "));
            builder.directory(root.toFile());
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("CACTUSSHIFT_NODE_FILE", file.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                    directory.resolve(name + ".log").toFile()));
            process = builder.start();
            Process started = process;
            Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
        }

        void kill() throws Exception {
            process.destroyForcibly();
            process.waitFor();
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", ready), 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
                String line = readLine(socket.getInputStream());
                return line != null && line.contains(" 200 ");
            } catch (IOException e) {
                return false;
            }
        }

        boolean awaitReady(long millis) {
            long until = now() + millis;
            while (now() < until) {
                if (isReady()) {
                    return true;
                }
                sleep(50);
            }
            return false;
        }

        private static String quote(String text) {
            return "\"" + text + "\"";
        }
    }

    private static final Set<Integer> PORTS = new HashSet<>();

    /** Returns a port that is free for TCP and UDP, below those that systems give to outgoing connections. */
    static synchronized int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
                    DatagramSocket datagram = new DatagramSocket(port, InetAddress.getByName("127.0.0.1"))) {
                if (PORTS.add(port)) {
                    return port;
                }
            } catch (IOException e) {
                // The port is taken.
            }
        }
    }

    record Answer(int status, Map<String, String> headers, String body, boolean complete) {}

    /** Sends one request on a new connection and reads its whole answer; status 0 stands for none. */
    static Answer call(int port, String method, String target, Map<String, String> headers, String body, long millis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            return call(socket, method, target, headers, body, millis);
        } catch (IOException e) {
            return new Answer(0, Map.of(), String.valueOf(e), false);
        }
    }

    static Answer call(Socket socket, String method, String target, Map<String, String> headers, String body, long ms)
            throws IOException {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: h.example\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + body.length() + "\r\n\r\n" + body);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout((int) ms);
        socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        InputStream in = socket.getInputStream();
        Map<String, String> answered = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        int status = 0;
        StringBuilder read = new StringBuilder();
        try {
            String line = readLine(in);
            if (line == null) {
                return new Answer(0, Map.of(), "closed", false);
            }
            status = Integer.parseInt(line.split(" ")[1]);
            readHeaders(in, answered);
            if (answered.containsKey("Content-Length")) {
                int length = Integer.parseInt(answered.get("Content-Length"));
                byte[] bytes = in.readNBytes(length);
                read.append(new String(bytes, StandardCharsets.ISO_8859_1));
                return new Answer(status, answered, read.toString(), bytes.length == length);
            }
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    return new Answer(status, answered, read.toString(), false);
                }
                int length = Integer.parseInt(size.trim(), 16);
                byte[] bytes = in.readNBytes(length);
                read.append(new String(bytes, StandardCharsets.ISO_8859_1));
                if (readLine(in) == null && length > 0) {
                    return new Answer(status, answered, read.toString(), false);
                }
                if (length == 0) {
                    return new Answer(status, answered, read.toString(), true);
                }
            }
        } catch (IOException e) {
            return new Answer(status, answered, read + " (" + e.getMessage() + ")", false);
        }
    }

    static String route(String name, String type, String service, long timeout, boolean resume) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"/" + name + "/\",\"type\":\"" + type
                + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":400,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":2,\"public\":false,\"can_resume\":" + resume + ",\"gap_aim_ms\":300}";
    }

    static String config(int version, String routes, String services) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-1\"],\"priority\":1},"
                + "{\"name\":\"t2\",\"api_keys\":[\"key-2\"],\"priority\":1}]}";
    }

    static String engineService(String name) {
        return "{\"name\":\"" + name + "\",\"health_check\":\"/healthz\",\"max_connections\":370,\"engine\":{\"slots\":64,"
                + "\"kv_capacity\":440441,\"kv_token_bytes\":18432,\"link_mbps\":370000.0,\"moves\":true,\"backups\":true,"
                + "\"kv_hold_s\":5.0,\"role_switch_s\":3.0}}";
    }

    static String entry(String service, String address, String zone, String state, String extra, long seq) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state + "\",\"cold_remaining_ms\":0" + extra
                + ",\"seq\":" + seq + "}";
    }
}
