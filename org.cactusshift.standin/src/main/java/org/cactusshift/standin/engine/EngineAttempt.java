package org.cactusshift.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.function.Supplier;
import org.cactusshift.standin.ReceivedRequest;
import org.cactusshift.standin.StandInRequest;
import org.cactusshift.standin.StandInResponse;
import org.cactusshift.standin.StandInStream;

/** The processing of an attempt by an engine, from the arrival of its request to the end of its response. */
final class EngineAttempt {
    /** The longest wait for tokens until a lost connection and a due keep-alive are checked for. */
    private static final long POLL_MILLIS = 20;

    private final EngineBatch batch;

    private final Sequence sequence;

    private final StandInRequest httpRequest;

    private final ResponseIdentity identity;

    private final long keepAliveMillis;

    private final AttemptLog attemptLog;

    /** Exports the KV cache at the end of a request for remote decode and returns the transfer parameters. */
    private final Supplier<ObjectNode> exportKvCache;

    EngineAttempt(
            EngineBatch batch,
            Sequence sequence,
            StandInRequest httpRequest,
            ResponseIdentity identity,
            long keepAliveMillis,
            AttemptLog attemptLog,
            Supplier<ObjectNode> exportKvCache) {
        this.batch = batch;
        this.sequence = sequence;
        this.httpRequest = httpRequest;
        this.identity = identity;
        this.keepAliveMillis = keepAliveMillis;
        this.attemptLog = attemptLog;
        this.exportKvCache = exportKvCache;
    }

    String attemptId() {
        return httpRequest.attemptId();
    }

    int promptTokens() {
        return sequence.request().promptTokens();
    }

    int completionTokens() {
        return batch.producedTokens(sequence);
    }

    /** Returns the state that {@code GET /requests/ID} reports; a queued attempt counts as running. */
    String state() {
        return switch (batch.stateOf(sequence)) {
            case DONE -> "done";
            case ABORTED -> "cancelled";
            default -> "running";
        };
    }

    /**
     * Records as the outcome of the request that an order interrupted it, unless the attempt has ended; see
     * {@link ReceivedRequest.Outcome#CUT_BY_ORDER}.
     */
    void recordCutByOrder() {
        if (state().equals("running")) {
            httpRequest.recordOutcome(ReceivedRequest.Outcome.CUT_BY_ORDER);
        }
    }

    /** Runs the request to completion and returns the non-streamed response. */
    StandInResponse runToCompletion() throws IOException {
        try {
            while (!batch.isDone(sequence)) {
                // Waits for the last token.
                batch.awaitMoreTokens(sequence, sequence.request().outputTokens() - 1, POLL_MILLIS);
                if (httpRequest.isConnectionLost()) {
                    throw new IOException("the connection was closed or the stand-in was stopped");
                }
            }
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < sequence.request().outputTokens(); i++) {
                text.append(token(i));
            }
            ObjectNode root = EngineResponseJson.completeResponse(
                    sequence.request(), identity.attemptId(), text.toString(), usage());
            addKvTransferParameters(root);
            return StandInResponse.json(StandInResponse.OK, root)
                    .withHeader(StandInRequest.ATTEMPT_ID_HEADER, identity.attemptId());
        } finally {
            end();
        }
    }

    /** Returns a response that streams each token when it is produced. */
    StandInResponse stream() {
        return StandInResponse.stream("text/event-stream", this::write)
                .withHeader(StandInRequest.ATTEMPT_ID_HEADER, identity.attemptId());
    }

    /** Ends the attempt; aborts it if it has not finished. */
    void end() {
        batch.cancel(sequence);
        attemptLog.end(this);
    }

    private void write(StandInStream stream) throws IOException {
        GenerateRequest request = sequence.request();
        try {
            int sent = 0;
            long lastSentNanos = System.nanoTime();
            while (sent < request.outputTokens()) {
                int produced = batch.awaitMoreTokens(sequence, sent, POLL_MILLIS);
                if (sent == 0 && produced > 0) {
                    send(stream, EngineResponseJson.firstChunk(request, identity.attemptId()));
                }
                for (; sent < produced; sent++) {
                    send(stream, EngineResponseJson.tokenChunk(request, identity.attemptId(), token(sent)));
                    lastSentNanos = System.nanoTime();
                }
                if (httpRequest.isConnectionLost()) {
                    throw new IOException("the connection was closed or the stand-in was stopped");
                }
                if (System.nanoTime() - lastSentNanos > keepAliveMillis * 1_000_000) {
                    stream.send(": keep-alive\n\n");
                    lastSentNanos = System.nanoTime();
                }
            }
            sendLastChunks(stream);
        } finally {
            end();
        }
    }

    private void sendLastChunks(StandInStream stream) throws IOException {
        GenerateRequest request = sequence.request();
        ObjectNode closing = EngineResponseJson.lastChunk(request, identity.attemptId());
        addKvTransferParameters(closing);
        send(stream, closing);
        if (request.includesUsage()) {
            send(stream, EngineResponseJson.usageChunk(request, identity.attemptId(), usage()));
        }
        stream.send("data: [DONE]\n\n");
    }

    private void addKvTransferParameters(ObjectNode root) {
        if (sequence.request().isForRemoteDecode()) {
            root.set("kv_transfer_params", exportKvCache.get());
        }
    }

    private ObjectNode usage() {
        return EngineResponseJson.usage(promptTokens(), sequence.request().outputTokens(), sequence.cachedTokens);
    }

    private String token(int index) {
        return identity.answer().token(sequence.request().firstTokenIndex() + index);
    }

    private static void send(StandInStream stream, ObjectNode chunk) throws IOException {
        stream.send("data: " + chunk + "\n\n");
    }
}
