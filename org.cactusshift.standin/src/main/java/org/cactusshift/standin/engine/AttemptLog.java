package org.cactusshift.standin.engine;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The attempts that an engine received since its start, and their token counts; bounded to the latest 20,000 ended. */
final class AttemptLog {
    private static final int MAXIMUM_ENDED_ATTEMPTS = 20_000;

    private final Map<String, EngineAttempt> running = new LinkedHashMap<>();

    private final Map<String, ObjectNode> ended = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ObjectNode> eldest) {
            return size() > MAXIMUM_ENDED_ATTEMPTS;
        }
    };

    synchronized void begin(EngineAttempt run) {
        running.put(run.attemptId(), run);
    }

    synchronized void end(EngineAttempt run) {
        if (running.remove(run.attemptId(), run)) {
            ended.put(run.attemptId(), totalsJson(run));
        }
    }

    synchronized Optional<ObjectNode> find(String attemptId) {
        EngineAttempt run = running.get(attemptId);
        return run == null ? Optional.ofNullable(ended.get(attemptId)) : Optional.of(totalsJson(run));
    }

    synchronized List<EngineAttempt> running() {
        return List.copyOf(running.values());
    }

    synchronized void clear() {
        running.clear();
        ended.clear();
    }

    private static ObjectNode totalsJson(EngineAttempt run) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("attempt", run.attemptId())
                .put("state", run.state())
                .put("prompt_tokens", run.promptTokens())
                .put("completion_tokens", run.completionTokens());
    }
}
