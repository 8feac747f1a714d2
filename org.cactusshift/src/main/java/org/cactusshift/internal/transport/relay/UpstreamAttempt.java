package org.cactusshift.internal.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cactusshift.errors.Failure;
import org.cactusshift.internal.coordination.serving.EngineStage;
import org.cactusshift.internal.coordination.serving.Placement;
import org.cactusshift.internal.coordination.serving.PromptPart;
import org.cactusshift.internal.coordination.serving.PromptPartUse;
import org.cactusshift.internal.coordination.serving.RequestKind;
import org.cactusshift.internal.coordination.serving.ServingRequest;
import org.cactusshift.internal.coordination.serving.Upstream;
import org.cactusshift.internal.protocol.stream.EventSplitter;

/** One send of a request to one upstream, to have the prompt read or to run it. */
final class UpstreamAttempt implements UpstreamResponseListener {
    /** A request that may not be repeated goes on connections used this lately, which are least likely to be stale. */
    private static final long FRESH_CONNECTION_MILLIS = 2_000;

    private static final int MAXIMUM_ANSWER_BYTES = 16 * 1_024 * 1_024;
    private static final int MAXIMUM_EVENT_BYTES = 1_024 * 1_024;

    /** An upstream that is silent for this long, and for several times the expected time, is given up where allowed. */
    private static final long SILENCE_MILLIS = 700;

    private static final int SILENCE_EXPECTED = 3;

    /** A stream that pauses for this many times its stated pause goes on elsewhere where allowed. */
    private static final int PAUSE_TARGETS = 3;

    private final RelayedRequest owner;
    private final Placement placement;
    private final boolean reading;
    private final Optional<String> memorySource;
    private final Upstream upstream;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private final EventSplitter events = EventSplitter.create(MAXIMUM_EVENT_BYTES);
    private UpstreamConnection connection;
    private ScheduledFuture<?> watchdog;
    private HttpResponseStatus status;
    private HttpHeaders headers;
    private ResponseMetadata facts;
    private boolean stream;
    private boolean heard;
    private boolean closed;
    private long sentAtMillis;
    private long tokensAhead;
    private long lastBytesMillis;

    private UpstreamAttempt(RelayedRequest owner, Placement placement, boolean reading, Optional<String> memorySource) {
        this.owner = owner;
        this.placement = placement;
        this.reading = reading;
        this.memorySource = memorySource;
        this.upstream = reading ? placement.prefillEngine().orElseThrow() : placement.target();
    }

    static UpstreamAttempt reading(RelayedRequest owner, Placement placement) {
        return new UpstreamAttempt(owner, placement, true, Optional.empty());
    }

    static UpstreamAttempt running(RelayedRequest owner, Placement placement, Optional<String> memorySource) {
        return new UpstreamAttempt(owner, placement, false, memorySource);
    }

    Placement placement() {
        return placement;
    }

    Upstream upstream() {
        return upstream;
    }

    boolean isReading() {
        return reading;
    }

    Optional<String> memorySource() {
        return memorySource;
    }

    boolean wasSent() {
        return connection != null;
    }

    long sentAtMillis() {
        return sentAtMillis;
    }

    private RelayContext context() {
        return owner.context();
    }

    private long nowMillis() {
        return context().clock().monotonicMillis();
    }

    private ServingRequest request() {
        return owner.request();
    }

    void open() {
        boolean once = request().route().kind() == RequestKind.NOT_REPEATABLE;
        long longestIdleMillis = once ? FRESH_CONNECTION_MILLIS : Long.MAX_VALUE;
        tokensAhead = upstream.totalPendingPrefillTokens() + freshTokens();
        upstream.onSent(freshTokens(), nowMillis());
        context().pool().take(upstream.entry().address(), longestIdleMillis, this::onConnection);
    }

    private long freshTokens() {
        return memorySource.isPresent() ? 0 : placement.uncachedTokens();
    }

    private void onConnection(Either<Failure, UpstreamConnection> taken) {
        if (closed) {
            taken.forEach(context().pool()::giveBack);
            return;
        }
        if (taken.isLeft()) {
            close("not-reached", taken.getLeft().message());
            upstream.onUnreachable(nowMillis(), context().random());
            context().witness().onUpstreamDown(upstream.id(), nowMillis());
            freeMemory();
            owner.onNotRun(this);
            return;
        }
        if (upstream.isLeaving()) {
            // It began to leave while the prompt was read elsewhere or a connection was opened.
            context().pool().giveBack(taken.get());
            close("left", "the upstream is leaving");
            freeMemory();
            owner.onNotRun(this);
            return;
        }
        connection = taken.get();
        sentAtMillis = nowMillis();
        lastBytesMillis = sentAtMillis;
        owner.onSending(this);
        HttpHeaders out =
                HopByHopHeaderFilter.without(owner.exchange().request().headers());
        context().codec().writeDirectives(out, owner.order(this));
        connection.send(
                owner.exchange().request().method(),
                owner.exchange().request().uri(),
                out,
                owner.exchange().body(),
                this);
        long expected = reading ? placement.prefillMillis() : placement.firstAnswerMillis();
        watch(Math.max(SILENCE_MILLIS, SILENCE_EXPECTED * expected));
        context()
                .log()
                .event("attempt.sent")
                .with("request", request().id().value())
                .with("upstream", upstream.id().value())
                .with("reading", reading)
                .with("freshTokens", freshTokens())
                .with(
                        "fetchFrom",
                        placement.fetchFrom().map(from -> from.id().value()).orElse("-"))
                .with("openThere", upstream.openRequests())
                .with("expectedMillis", expected)
                .write();
    }

    private void watch(long millis) {
        watchdog = context().eventLoop().schedule(() -> onQuiet(millis), millis, TimeUnit.MILLISECONDS);
    }

    private void onQuiet(long millis) {
        if (closed) {
            return;
        }
        // A request that waits its turn at an upstream that answers others is not given up.
        long quietMillis = Math.min(nowMillis() - lastBytesMillis, upstream.millisSinceProgress(nowMillis()));
        if (heard) {
            quietMillis = nowMillis() - lastBytesMillis;
        }
        if (quietMillis < millis) {
            watch(millis - quietMillis);
        } else if (owner.hasAlternative(this)) {
            upstream.onFailedAnswer();
            abandon("silent");
            owner.onLost(this, "the upstream was silent for " + quietMillis + " ms");
        }
    }

    @Override
    public boolean onHead(HttpResponse response) {
        ResponseMetadata read = context().codec().readResponse(response);
        if (read.requestId().isPresent()
                && !read.requestId().get().equals(request().id().value())) {
            context()
                    .log()
                    .event("attempt.strayAnswer")
                    .with("request", request().id().value())
                    .with("upstream", upstream.id().value())
                    .with("answers", read.requestId().get())
                    .write();
            return false;
        }
        facts = read;
        status = response.status();
        headers = HopByHopHeaderFilter.without(response.headers());
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        stream = !reading
                && status.codeClass() == HttpStatusClass.SUCCESS
                && request().route().kind() == RequestKind.STREAM;
        lastBytesMillis = nowMillis();
        facts.load().ifPresent(load -> upstream.onLoad(load.running(), load.waiting(), nowMillis()));
        facts.idleTimeoutMillis().ifPresent(connection::setIdleLimitMillis);
        if (!stream) {
            onHeard();
        }
        return true;
    }

    private void onHeard() {
        if (heard) {
            return;
        }
        heard = true;
        long tookMillis = nowMillis() - sentAtMillis;
        upstream.onFirstAnswer(freshTokens(), nowMillis());
        if (facts != null && !facts.notExecuted()) {
            noteRead();
            double usual = context().speed().firstAnswerMillis(request().service(), stage(), tokensAhead);
            upstream.onRelativeLatency(tookMillis / Math.max(1, usual));
            context().speed().onFirstAnswer(request().service(), stage(), tokensAhead, freshTokens(), tookMillis);
        }
    }

    private void noteRead() {
        if (request().prompt().isEmpty()) {
            return;
        }
        upstream.onPrefilled(request().prompt(), context().nodeCount().getAsInt());
        for (PromptPart part : request().prompt()) {
            if (PromptPartUse.isAdvertised(part)) {
                context().partUseListener().accept(new PromptPartUse(upstream.id(), part));
            }
        }
    }

    private EngineStage stage() {
        if (reading) {
            return EngineStage.PREFILL;
        }
        // The run after a reading elsewhere has a pace of its own.
        boolean readsHere = !request().prompt().isEmpty() && memorySource.isEmpty();
        return readsHere ? upstream.prefillStage() : EngineStage.ANY;
    }

    @Override
    public void onContent(ByteBuf bytes) {
        lastBytesMillis = nowMillis();
        upstream.onProgress(lastBytesMillis);
        if (!stream) {
            addContent(bytes);
            return;
        }
        List<EventSplitter.Event> whole;
        try {
            whole = events.add(bytes);
        } catch (IllegalArgumentException e) {
            breakOff(e.getMessage());
            return;
        }
        if (whole.isEmpty() || !facts.signed()) {
            return;
        }
        if (!heard) {
            onHeard();
            watchPauses();
        }
        whole.forEach(event -> owner.onEvent(status, headers, event));
        if (!owner.exchange().isWritable()) {
            connection.setReading(false);
            owner.exchange().onWritable(() -> connection.setReading(true));
        }
    }

    private void watchPauses() {
        watchdog.cancel(false);
        long pauseMillis = request().route().targetEventGapMillis();
        watch(Math.max(SILENCE_MILLIS, PAUSE_TARGETS * pauseMillis));
    }

    private void addContent(ByteBuf bytes) {
        if (content.size() + bytes.readableBytes() > MAXIMUM_ANSWER_BYTES) {
            breakOff("the answer is longer than " + MAXIMUM_ANSWER_BYTES + " bytes");
            return;
        }
        content.writeBytes(ByteBufUtil.getBytes(bytes));
    }

    private void breakOff(String reason) {
        connection.abandon();
        onBroken(reason);
    }

    @Override
    public void onComplete() {
        if (facts.notExecuted()) {
            onNotRun();
        } else if (reading) {
            onRead();
        } else if (!facts.signed()) {
            onBroken("the answer carries no signature");
        } else if (!stream) {
            close("answered", "status " + status.code());
            noteQuality(status.code() < HttpResponseStatus.INTERNAL_SERVER_ERROR.code());
            owner.onAnswer(this, new BufferedResponse(status, headers, content.toByteArray()));
        } else if (events.isInsideEvent()) {
            onBroken("the stream ended inside an event");
        } else {
            close("answered", "stream complete");
            noteQuality(true);
            owner.onStreamEnd(status, headers);
        }
    }

    private void noteQuality(boolean good) {
        if (good) {
            upstream.onSuccess(sentAtMillis);
        } else {
            upstream.onFailedAnswer();
        }
    }

    private void onNotRun() {
        close("not-run", "status " + status.code());
        upstream.onRefused(nowMillis());
        if (facts.misdirected()) {
            upstream.onUnreachable(nowMillis(), context().random());
        }
        freeMemory();
        owner.onNotRun(this);
    }

    private void onRead() {
        Optional<String> memoryName = status.code() == HttpResponseStatus.OK.code()
                ? context().codec().readKvHandle(content.toByteArray())
                : Optional.empty();
        if (memoryName.isEmpty()) {
            close("failed", "status " + status.code());
            upstream.onFailedAnswer();
            owner.onLost(this, "the prompt was not read");
            return;
        }
        close("read", "status " + status.code());
        noteQuality(true);
        owner.onRead(this, memoryName.get());
    }

    @Override
    public void onBroken(String reason) {
        if (closed) {
            return;
        }
        close("broken", reason);
        upstream.onFailedAnswer();
        upstream.onInconclusiveEnd(nowMillis());
        freeMemory();
        owner.onLost(this, reason);
    }

    /** Gives up the attempt; the upstream stops when it sees the connection closed. */
    void abandon(String reason) {
        if (closed) {
            return;
        }
        close("abandoned", reason);
        upstream.onInconclusiveEnd(nowMillis());
        if (connection != null) {
            connection.abandon();
        }
        freeMemory();
    }

    /** Gives up an attempt that was never opened. */
    void discard() {
        closed = true;
        freeMemory();
    }

    private void close(String outcome, String reason) {
        closed = true;
        if (watchdog != null) {
            watchdog.cancel(false);
        }
        onHeardNothing();
        upstream.onDone();
        context().metrics().onAttempt(request().service().value(), outcome);
        context()
                .log()
                .event("attempt.ended")
                .with("request", request().id().value())
                .with("upstream", upstream.id().value())
                .with("outcome", outcome)
                .with("reason", reason)
                .with("tookMillis", sentAtMillis == 0 ? 0 : nowMillis() - sentAtMillis)
                .write();
    }

    private void onHeardNothing() {
        if (!heard) {
            heard = true;
            upstream.onFirstAnswer(freshTokens(), nowMillis());
        }
    }

    /** Frees the memory that the reading engine keeps for this run, when the run does not take it. */
    private void freeMemory() {
        boolean taken = connection != null && facts != null && !facts.notExecuted();
        if (memorySource.isEmpty() || taken) {
            return;
        }
        int slash = memorySource.get().indexOf('/');
        String address = memorySource.get().substring(0, slash);
        String path = context().codec().kvReleasePath(memorySource.get().substring(slash + 1));
        context()
                .pool()
                .take(
                        address,
                        Long.MAX_VALUE,
                        free -> free.forEach(used -> {
                            HttpHeaders host = new DefaultHttpHeaders().set(HttpHeaderNames.HOST, address);
                            used.send(HttpMethod.DELETE, path, host, Unpooled.EMPTY_BUFFER, new IgnoredAnswer());
                        }));
    }

    /** Reads an answer that decides nothing; memory that is not freed here ends by itself. */
    private static final class IgnoredAnswer implements UpstreamResponseListener {
        @Override
        public boolean onHead(HttpResponse response) {
            return true;
        }

        @Override
        public void onContent(ByteBuf bytes) {
            // Nothing to learn.
        }

        @Override
        public void onComplete() {
            // Nothing to learn.
        }

        @Override
        public void onBroken(String reason) {
            // Nothing to learn.
        }
    }
}
