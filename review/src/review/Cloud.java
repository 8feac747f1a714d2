package review;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The platform's API: takes usage reports, checks fences. */
final class Cloud {
    /** A report that was accepted. */
    record Report(long window, String counts, String holder, long fence, long atMillis) {}

    private final Record record;
    private final Http.Server server;
    private long highestFence;
    final List<Report> accepted = new ArrayList<>();

    Cloud(Record record) throws IOException {
        this.record = record;
        server = new Http.Server(this::handle);
    }

    String address() {
        return server.address();
    }

    private void handle(Http.Message request, Socket socket) throws IOException {
        if (!request.target().equals("/usage")) {
            Http.respond(socket, 409, "", "");
            return;
        }
        String holder = request.header("Lease-Holder");
        long fence = Long.parseLong(request.header("Fencing-Token"));
        String body = request.text();
        long window = Long.parseLong(body.replaceAll("(?s).*\"window\":(\\d+).*", "$1"));
        String counts = body.replaceAll("(?s).*\"counts\":(\\{[^}]*\\}).*", "$1");
        boolean ok;
        synchronized (this) {
            ok = fence >= highestFence;
            highestFence = Math.max(highestFence, fence);
            if (ok) {
                accepted.add(new Report(window, counts, holder, fence, record.millis()));
            }
        }
        record.line("platform: usage of window " + window + " from " + holder + " with fence " + fence + ": " + counts
                + " -> " + (ok ? 200 : 409));
        Http.respond(socket, ok ? 200 : 409, "", "");
    }

    synchronized List<Report> reports() {
        return new ArrayList<>(accepted);
    }

    /** Returns the windows for which reports with different counts were accepted, with these reports. */
    synchronized Map<Long, List<Report>> conflicting() {
        Map<Long, List<Report>> byWindow = new HashMap<>();
        for (Report report : accepted) {
            byWindow.computeIfAbsent(report.window(), key -> new ArrayList<>()).add(report);
        }
        byWindow.values()
                .removeIf(reports -> reports.stream().map(Report::counts).distinct().count() < 2);
        return byWindow;
    }
}
