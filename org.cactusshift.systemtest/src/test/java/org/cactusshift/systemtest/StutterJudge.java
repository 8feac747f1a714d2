package org.cactusshift.systemtest;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cactusshift.standin.site.RawHttpCaller;

/**
 * Judges, by request id, what callers and upstreams saw of upstreams that respond twice. A violation begins with its
 * kind and a colon:
 *
 * <ul>
 *   <li>MIXED: a status, signature or body that is not of the upstream's response to the request;
 *   <li>REFUSED: a non-repeatable request was refused as not run but had run, or ran later;
 *   <li>TWICE: a non-repeatable request ran more than once;
 *   <li>ORDER: an event of a stream is missing, doubled or foreign, or the stream ends as complete before its last one;
 *   <li>UNASKED: an upstream got a request, or a part of a body, that was not sent.
 * </ul>
 */
final class StutterJudge {
    static final int EVENTS_PER_STREAM = 6;
    static final String NON_REPEATABLE = "/once/x";
    static final String REPEATABLE = "/again/x";
    static final String STREAM = "/stream/x";
    private static final int OK = 200;
    private static final int INTERNAL_ERROR = 500;
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /** An upstream's own response to a request. */
    record Answer(int status, String signature, String body) {}

    /** A violation, and the mode that was played when the request was sent. */
    record Violation(StutterMode mode, String id, String text) {
        String kind() {
            return text.substring(0, text.indexOf(':'));
        }

        @Override
        public String toString() {
            return text + " (" + mode + ")";
        }
    }

    /** What is known of one request. */
    private static final class Request {
        private final String path;
        private final String body;
        private final StutterMode mode;
        private final List<Answer> answers = new ArrayList<>();
        private int runs;
        private boolean refused;

        Request(String path, String body, StutterMode mode) {
            this.path = path;
            this.body = body;
            this.mode = mode;
        }

        boolean isNonRepeatable() {
            return path.equals(NON_REPEATABLE);
        }
    }

    private final Map<String, Request> requests = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();
    private final Map<StutterMode, int[]> servedAndSent = new TreeMap<>();
    private final Map<Integer, Integer> responsesByStatus = new TreeMap<>();

    /** Returns the text of an event. */
    static String event(String id, int number) {
        return "id: " + number + "\ndata: " + id + "-" + number + "\n\n";
    }

    synchronized void onSent(String id, String path, String body, StutterMode mode) {
        requests.put(id, new Request(path, body, mode));
        servedAndSent.computeIfAbsent(mode, any -> new int[2])[1]++;
    }

    /** Records that an upstream starts to run a request. */
    synchronized void onRun(String id, String path) {
        Request request = requests.get(id);
        if (request == null) {
            violations.add(new Violation(null, id, "UNASKED: " + id + " ran and was not sent"));
            return;
        }
        if (!path.equals(request.path)) {
            add(id, "UNASKED", "ran with " + path + ", sent with " + request.path);
        }
        request.runs++;
        if (request.runs > 1 && request.isNonRepeatable()) {
            add(id, "TWICE", "ran " + request.runs + " times");
        }
        if (request.refused) {
            add(id, "REFUSED", "ran after it was refused");
        }
    }

    /** Records the body that an upstream read, which is shorter than the one sent if the connection ended. */
    synchronized void onBody(String id, String body) {
        Request request = requests.get(id);
        if (request != null && !request.body.startsWith(body)) {
            add(id, "UNASKED", "came with a body of " + body.length() + " bytes that was not sent");
        }
    }

    /** Records an upstream's own response, before it is written. */
    synchronized void onAnswer(String id, Answer answer) {
        requests.get(id).answers.add(answer);
    }

    /** Records what the caller got; status 0 stands for a connection that ended without a response. */
    synchronized void onResponse(String id, RawHttpCaller.Response response) {
        int before = violations.size();
        Request request = requests.get(id);
        responsesByStatus.merge(response.status(), 1, Integer::sum);
        if (request.isNonRepeatable() && NOT_RUN_STATUSES.contains(response.status())) {
            request.refused = true;
            if (request.runs > 0) {
                add(id, "REFUSED", "got " + response.status() + " but had run");
            }
        }
        String signature = response.headers().getOrDefault("response-signature", "");
        String named = response.headers().getOrDefault("request-id", id);
        boolean fromUpstream = response.status() == OK || response.status() == INTERNAL_ERROR || !signature.isEmpty();
        if (!named.equals(id) || fromUpstream && !isOwn(request, response, signature)) {
            add(id, "MIXED", "got " + brief(response) + ", answers " + request.answers);
        }
        if (request.path.equals(STREAM) && response.status() == OK) {
            checkEvents(id, response);
        }
        if (response.status() == OK && response.complete() && violations.size() == before) {
            servedAndSent.get(request.mode)[0]++;
        }
    }

    private static boolean isOwn(Request request, RawHttpCaller.Response response, String signature) {
        boolean isStream = request.path.equals(STREAM) && response.status() == OK;
        return request.answers.stream()
                .anyMatch(answer -> answer.status() == response.status()
                        && answer.signature().equals(signature)
                        && (isStream
                                || (response.complete()
                                        ? answer.body().equals(response.body())
                                        : answer.body().startsWith(response.body()))));
    }

    private void checkEvents(String id, RawHttpCaller.Response response) {
        StringBuilder all = new StringBuilder();
        for (int number = 1; number <= EVENTS_PER_STREAM; number++) {
            all.append(event(id, number));
        }
        boolean isFitting = response.complete()
                ? response.body().contentEquals(all)
                : all.toString().startsWith(response.body());
        if (!isFitting) {
            add(id, "ORDER", "got " + brief(response));
        }
    }

    private static String brief(RawHttpCaller.Response response) {
        String body = response.body().replace("\r", "").replace('\n', '|');
        return response.status() + " " + response.headers() + " " + body.substring(0, Math.min(body.length(), 200))
                + (response.complete() ? "" : " (broken off)");
    }

    private void add(String id, String kind, String text) {
        violations.add(new Violation(requests.get(id).mode, id, kind + ": " + id + " " + text));
    }

    synchronized List<Violation> violations() {
        return new ArrayList<>(violations);
    }

    /** Returns the share of the requests sent in a mode that got a complete success, and their number. */
    synchronized String servedShare(StutterMode mode) {
        int[] counts = servedAndSent.getOrDefault(mode, new int[2]);
        return String.format("%.3f of %d", counts[1] == 0 ? 0.0 : (double) counts[0] / counts[1], counts[1]);
    }

    /** Returns the share of all requests that got a complete success. */
    synchronized double servedShare() {
        int served =
                servedAndSent.values().stream().mapToInt(counts -> counts[0]).sum();
        int sent = servedAndSent.values().stream().mapToInt(counts -> counts[1]).sum();
        return sent == 0 ? 0 : (double) served / sent;
    }

    synchronized Map<Integer, Integer> responsesByStatus() {
        return new TreeMap<>(responsesByStatus);
    }
}
