package org.cactusshift.standin.engine;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The attempts that an engine received since its start: the running ones, and the totals of the latest 20,000 ended
 * ones.
 */
final class AttemptLog {
    private static final int MAXIMUM_ENDED_ATTEMPTS = 20_000;

    private final Map<String, EngineAttempt> runningById = new LinkedHashMap<>();

    private final Map<String, ObjectNode> endedTotalsById = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ObjectNode> eldest) {
            return size() > MAXIMUM_ENDED_ATTEMPTS;
        }
    };

    synchronized void begin(EngineAttempt attempt) {
        runningById.put(attempt.attemptId(), attempt);
    }

    synchronized void end(EngineAttempt attempt) {
        if (runningById.remove(attempt.attemptId(), attempt)) {
            endedTotalsById.put(attempt.attemptId(), totalsJson(attempt));
        }
    }

    /** Returns the totals that {@code GET /requests/ID} reports, up to now if the attempt is running. */
    synchronized Optional<ObjectNode> findTotals(String attemptId) {
        EngineAttempt attempt = runningById.get(attemptId);
        return attempt == null ? Optional.ofNullable(endedTotalsById.get(attemptId)) : Optional.of(totalsJson(attempt));
    }

    synchronized List<EngineAttempt> running() {
        return List.copyOf(runningById.values());
    }

    synchronized void clear() {
        runningById.clear();
        endedTotalsById.clear();
    }

    private static ObjectNode totalsJson(EngineAttempt attempt) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("attempt", attempt.attemptId())
                .put("state", attempt.state())
                .put("prompt_tokens", attempt.promptTokens())
                .put("completion_tokens", attempt.completionTokens());
    }
}
