package review2;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.cactusshift.standin.site.ScriptedUpstream;
import org.cactusshift.standin.site.SiteStore;

/** A small deployment: the store, the platform's endpoint, and node processes started with the deploy file's command. */
final class Site implements AutoCloseable {
    static final String KEY = "key-1";
    final SiteStore store = SiteStore.create();
    final ScriptedUpstream cloud;
    final List<Node> nodes = new ArrayList<>();
    private final Path directory;
    private final Path root;
    private final Record record;

    Site(Path root, Record record) throws IOException {
        this(root, record, (request, connection) -> connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    }

    /** Starts the store and the platform's endpoint, which answers as the script says. */
    Site(Path root, Record record, ScriptedUpstream.Script platform) throws IOException {
        this.root = root;
        this.record = record;
        this.directory = Files.createTempDirectory("review2");
        // Also when this program is stopped early.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(node -> {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        })));
        store.start();
        cloud = ScriptedUpstream.start(platform);
    }

    /** A line of record.txt, with the milliseconds since the start. */
    static final class Record implements AutoCloseable {
        private final java.io.PrintStream out;
        private final long startNanos = System.nanoTime();

        Record(Path file) throws IOException {
            out = new java.io.PrintStream(Files.newOutputStream(file), true, StandardCharsets.UTF_8);
        }

        synchronized void add(String line) {
            out.printf("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
        }

        @Override
        public void close() {
            out.close();
        }
    }

    /** A node process. */
    final class Node {
        final String name;
        final int front;
        final int ready;
        final Path settings;
        final Path log;
        Process process;

        Node(String name, String zone) throws IOException {
            this.name = name;
            int[] ports = freePorts(4);
            front = ports[0];
            ready = ports[1];
            settings = directory.resolve(name + ".json");
            log = directory.resolve(name + ".log");
            String template = Files.readString(root.resolve("platform/settings.json.template"));
            Map<String, String> values = new TreeMap<>();
            values.put("node|json", quote(name));
            values.put("zone|json", quote(zone));
            values.put("listen.front|json", quote("127.0.0.1:" + front));
            values.put("listen.ready|json", quote("127.0.0.1:" + ready));
            values.put("ip", "127.0.0.1");
            values.put("internal_ports.0", Integer.toString(ports[2]));
            values.put("internal_ports.1", Integer.toString(ports[3]));
            values.put("platform.address|json", quote(storeAddress()));
            values.put("cloud.address|json", quote(cloud.address()));
            values.put("bounds.retry_budget_ratio|json", "0.2");
            values.put("bounds.budget_extra|json", "56");
            values.put("bounds.budget_window_s|json", "10");
            values.put("bounds.lease_ms|json", "3000");
            values.put("bounds.usage_window_s|json", "5");
            values.put("bounds.config_apply_ms|json", "2000");
            values.put("bounds.drain_ms|json", "2000");
            values.put("bounds.grace_s|json", "8");
            for (Map.Entry<String, String> value : values.entrySet()) {
                template = template.replace("{{" + value.getKey() + "}}", value.getValue());
            }
            Files.writeString(settings, template);
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>(Arrays.asList(deployCommand().split(" ")));
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            Map<String, String> environment = builder.environment();
            Map<String, String> kept = new TreeMap<>();
            for (String variable : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                if (environment.containsKey(variable)) {
                    kept.put(variable, environment.get(variable));
                }
            }
            environment.clear();
            environment.putAll(kept);
            environment.put("CACTUSSHIFT_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            record.add("start " + name + " pid " + process.pid());
        }

        boolean awaitReady(long millis) throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
            while (System.nanoTime() < end) {
                if (isReady()) {
                    record.add(name + " ready");
                    return true;
                }
                Thread.sleep(50);
            }
            return false;
        }

        boolean isReady() {
            try {
                HttpResponse<String> response = HttpClient.newHttpClient()
                        .send(
                                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + ready + "/-/ready"))
                                        .timeout(Duration.ofMillis(1000))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
                return response.statusCode() == 200;
            } catch (IOException e) {
                return false;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }

        /** Sends a signal, by name, to the process. */
        void signal(String signal) throws IOException, InterruptedException {
            record.add("SIG" + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }
    }

    private String deployCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no command in the deploy file");
    }

    String storeAddress() {
        return String.valueOf(store.address());
    }

    Node addNode(String name, String zone) throws IOException {
        Node node = new Node(name, zone);
        nodes.add(node);
        return node;
    }

    static String quote(String text) {
        return "\"" + text + "\"";
    }

    static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            ports[i] = sockets.get(i).getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** Writes the entry of an engine, as the engine does with each of its beats. */
    void putEngine(String id, String service, String address, String extra) {
        store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + address
                        + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                        + "\"cold_remaining_ms\":0,\"seq\":1" + extra + "}");
    }

    @Override
    public void close() throws IOException {
        for (Node node : nodes) {
            if (node.process != null && node.process.isAlive()) {
                node.process.destroyForcibly();
            }
        }
        for (Node node : nodes) {
            try {
                if (node.process != null) {
                    node.process.waitFor(10, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        cloud.close();
        store.close();
        if (System.getenv("KEEP") == null) {
            File[] files = directory.toFile().listFiles();
            if (files != null) {
                for (File file : files) {
                    file.delete();
                }
            }
            directory.toFile().delete();
        } else {
            System.err.println(directory);
        }
    }

    static String route(String name, String type, String service, boolean resumable, int timeoutMillis) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"/" + name + "/\",\"type\":\"" + type
                + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":400,\"priority\":1,\"service\":\""
                + service + "\",\"max_attempts\":2,\"public\":false,\"can_resume\":" + resumable
                + ",\"gap_aim_ms\":300}";
    }

    void putConfig(long version, List<String> routes, String services) {
        store.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + services
                        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                        + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"" + KEY + "\"]}]}");
        record.add("config " + version + " confirmed");
    }
}
