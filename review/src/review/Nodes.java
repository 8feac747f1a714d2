package review;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Starts the project's program with the command of the deploy file, and sends signals to it. */
final class Nodes {
    static final class Node {
        final String name;
        final String zone;
        final Path settings;
        final Path log;
        final int front;
        final int ready;
        Process process;

        private Node(String name, String zone, Path settings, Path log, int front, int ready) {
            this.name = name;
            this.zone = zone;
            this.settings = settings;
            this.log = log;
            this.front = front;
            this.ready = ready;
        }

        boolean isReady() {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ready)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write("GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.ISO_8859_1));
                Http.Message answer = Http.read(socket.getInputStream(), true);
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void signal(String signal) throws IOException {
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                        .inheritIO()
                        .start()
                        .waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        void awaitExit() {
            try {
                if (!process.waitFor(15, TimeUnit.SECONDS)) {
                    throw new IllegalStateException(name + " did not exit");
                }
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static final Set<Integer> TAKEN = new HashSet<>();
    private final Path directory;
    private final Path repository;
    private final List<String> command;
    private final Record record;
    final List<Node> all = new ArrayList<>();
    private boolean killed;

    Nodes(Path repository, Record record) throws IOException {
        this.repository = repository;
        this.record = record;
        this.directory = Files.createTempDirectory("review");
        String run = Files.readAllLines(repository.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        command = List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Returns a free port below those that the system gives to connections, which could take it meanwhile. */
    static synchronized int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
            if (TAKEN.add(port)) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                    return socket.getLocalPort();
                } catch (BindException e) {
                    continue;
                }
            }
        }
    }

    Node add(String name, String zone, String store, String cloud) throws IOException {
        int[] ports = {freePort(), freePort(), freePort(), freePort()};
        Path settings = directory.resolve(name + ".json");
        // As platform/settings.json.template with the bounds of a small deployment.
        Files.writeString(
                settings,
                """
                {"instance": "%s", "failureDomain": "%s",
                 "listen": {"callers": "127.0.0.1:%d", "readiness": "127.0.0.1:%d",
                            "peers": "127.0.0.1:%d", "metrics": "127.0.0.1:%d"},
                 "keyValueService": "%s", "platformService": "%s",
                 "retries": {"ratio": 0.2, "extra": 56, "windowSeconds": 10},
                 "timing": {"leaseMillis": 3000, "usageWindowSeconds": 5, "configMillis": 2000,
                            "drainMillis": 2000, "graceSeconds": 8}}
                """
                        .formatted(name, zone, ports[0], ports[1], ports[2], ports[3], store, cloud));
        Node node = new Node(name, zone, settings, directory.resolve(name + ".log"), ports[0], ports[1]);
        all.add(node);
        return node;
    }

    void start(Node node) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.directory(repository.toFile());
        builder.environment().put("CACTUSSHIFT_NODE_FILE", node.settings.toString());
        node.process = builder.redirectErrorStream(true)
                .redirectInput(new File("/dev/null"))
                .redirectOutput(ProcessBuilder.Redirect.appendTo(node.log.toFile()))
                .start();
        record.line("node " + node.name + ": started, process " + node.process.pid());
    }

    void startAll() throws IOException {
        for (Node node : all) {
            start(node);
        }
        awaitReady(30_000);
    }

    void awaitReady(long timeoutMillis) {
        long end = System.nanoTime() + timeoutMillis * 1_000_000;
        for (Node node : all) {
            while (!node.isReady()) {
                if (System.nanoTime() > end) {
                    throw new IllegalStateException(node.name + " is not ready");
                }
                Http.sleep(50);
            }
        }
    }

    Node byName(String name) {
        return all.stream().filter(node -> node.name.equals(name)).findFirst().orElseThrow();
    }

    /** Copies the lines of the nodes' logs that name one of the events to the record. */
    void copyLogs(String... events) throws IOException {
        for (Node node : all) {
            for (String line : Files.readAllLines(node.log)) {
                for (String event : events) {
                    if (line.contains(event)) {
                        record.line("log of " + node.name + ": " + line);
                        break;
                    }
                }
            }
        }
    }

    synchronized void killAll() {
        if (killed) {
            return;
        }
        killed = true;
        for (Node node : all) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
        for (Node node : all) {
            if (node.process != null) {
                try {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
        if (System.getenv("REVIEW_KEEP_LOGS") != null) {
            System.out.println("logs in " + directory);
            return;
        }
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(directory);
        } catch (IOException e) {
            System.err.println("could not remove " + directory);
        }
    }
}
