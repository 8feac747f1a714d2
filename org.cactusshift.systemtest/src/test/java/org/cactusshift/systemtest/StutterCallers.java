package org.cactusshift.systemtest;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cactusshift.standin.site.RawHttpCaller;

/** Threads that send calls over kept connections, each connection to a drawn node, and report to the judge. */
final class StutterCallers implements AutoCloseable {
    private static final AtomicInteger LAST_REQUEST_NUMBER = new AtomicInteger();
    private static final long CALL_INTERVAL_MILLIS = 5;
    private static final long RECONNECT_DELAY_MILLIS = 50;

    /** Bytes of a body of which an upstream reads a part before it responds. */
    private static final int LONG_BODY_BYTES = 200_000;

    private static final RawHttpCaller.Response NONE = new RawHttpCaller.Response(0, Map.of(), "", false);

    private final StutterSite site;
    private final List<Thread> threads = new ArrayList<>();
    private volatile StutterMode mode;
    private volatile boolean stopped;

    private StutterCallers(StutterSite site, StutterMode mode) {
        this.site = site;
        this.mode = mode;
    }

    static StutterCallers start(StutterSite site, int callers, long seed, StutterMode mode) {
        StutterCallers group = new StutterCallers(site, mode);
        for (int i = 0; i < callers; i++) {
            Random random = new Random(seed * 1_000 + i);
            Thread thread = new Thread(() -> group.run(random), "stutter-caller-" + i);
            thread.setDaemon(true);
            thread.start();
            group.threads.add(thread);
        }
        return group;
    }

    /** Attributes the requests that are sent from now on to a mode. */
    void play(StutterMode newMode) {
        mode = newMode;
    }

    private void run(Random random) {
        while (!stopped) {
            String address = site.nodes()
                    .get(random.nextInt(site.nodes().size()))
                    .callerRelay()
                    .address();
            try (Socket socket = RawHttpCaller.connect(Integer.parseInt(address.substring(address.indexOf(':') + 1)))) {
                while (!stopped && call(socket, random)) {
                    TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
                }
                TimeUnit.MILLISECONDS.sleep(RECONNECT_DELAY_MILLIS);
            } catch (IOException e) {
                // The node is stopping or starting; the next connection may go to another one.
                Thread.onSpinWait();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Makes one call; returns whether the connection may be reused. */
    private boolean call(Socket socket, Random random) {
        StutterMode sentIn = mode;
        String id = "r" + LAST_REQUEST_NUMBER.incrementAndGet();
        String path = List.of(StutterJudge.NON_REPEATABLE, StutterJudge.REPEATABLE, StutterJudge.STREAM)
                .get(random.nextInt(3));
        String body = "b-" + id + (sentIn == StutterMode.EARLY ? "-".repeat(LONG_BODY_BYTES) : "");
        site.judge().onSent(id, path, body, sentIn);
        RawHttpCaller.Response response = NONE;
        try {
            socket.getOutputStream()
                    .write(RawHttpCaller.request(path, id, Map.of("Credential", SoakSite.KEY), body)
                            .getBytes(StandardCharsets.ISO_8859_1));
            response = RawHttpCaller.read(socket.getInputStream());
        } catch (IOException e) {
            // The connection ended without a response, as the judge is told.
            response = NONE;
        }
        site.judge().onResponse(id, response);
        return response.complete() && !"close".equals(response.headers().get("connection"));
    }

    /** Stops the callers and waits up to 30 s for each. */
    @Override
    public void close() {
        stopped = true;
        for (Thread thread : threads) {
            try {
                thread.join(TimeUnit.SECONDS.toMillis(30));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
