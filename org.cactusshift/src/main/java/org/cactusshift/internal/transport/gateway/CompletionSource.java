package org.cactusshift.internal.transport.gateway;

import io.vavr.control.Either;
import java.util.Optional;
import org.cactusshift.id.AttemptId;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd.Outcome;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision.Dispatch;
import org.cactusshift.internal.coordination.dispatch.DispatchRequest;
import org.cactusshift.internal.coordination.dispatch.DispatchTicket;
import org.cactusshift.internal.protocol.openai.CompletionAssembler;
import org.cactusshift.internal.protocol.openai.CompletionChunk;
import org.cactusshift.internal.protocol.openai.CompletionRequest;
import org.cactusshift.internal.protocol.openai.EngineRequest;
import org.cactusshift.internal.protocol.openai.TokenUsage;
import org.cactusshift.internal.transport.http.UpstreamException;

/**
 * The answer of one completion as a sequence of items, from however many engines it takes.
 *
 * <p>It is pulled: no more is read from an engine until the caller has taken what came before. Used by one thread.
 */
final class CompletionSource implements AutoCloseable {
    private final GatewayRequest request;
    private final CompletionRequest completion;
    private final DispatchRequest dispatchRequest;
    private final DispatchTicket ticket;
    private final RequestMonitor monitor;
    private final DecisionWaiter waiter;
    private final CompletionBilling billing;
    private final CompletionTimer timer;
    private final boolean isBuffered;
    private CompletionAssembler assembler;
    private EngineAttempt attempt;
    private CompletionChunk undelivered;
    private Optional<AttemptId> lengthLimitAttempt = Optional.empty();
    private long resumedPromptTokens;
    private boolean mayHaveRun;
    private boolean ended;

    CompletionSource(
            GatewayRequest request,
            CompletionRequest completion,
            DispatchRequest dispatchRequest,
            DispatchTicket ticket,
            Caller caller,
            RequestMonitor watch) {
        this.request = request;
        this.completion = completion;
        this.dispatchRequest = dispatchRequest;
        this.ticket = ticket;
        this.monitor = watch;
        this.waiter = new DecisionWaiter(request, ticket, watch);
        this.assembler = newAssembler();
        this.billing = new CompletionBilling(request.components(), caller, dispatchRequest.service());
        this.timer = new CompletionTimer(request, dispatchRequest.service());
        this.isBuffered = !completion.isStreamed();
    }

    private CompletionAssembler newAssembler() {
        String prefix = completion.kind() == CompletionRequest.Kind.CHAT ? "chatcmpl-" : "cmpl-";
        return CompletionAssembler.create(completion, prefix + request.id());
    }

    CompletionAssembler assembler() {
        return assembler;
    }

    /** Returns the next item; the one before counts as delivered to the caller. */
    CompletionItem next() {
        confirmDelivery();
        if (lengthLimitAttempt.isPresent()) {
            billing.complete(lengthLimitAttempt.get(), completion.promptTokens());
            return new CompletionItem.End(new TokenUsage(completion.promptTokens(), billing.totalOutputTokens(), 0));
        }
        while (true) {
            Optional<CompletionItem> item = attempt == null ? openAttempt() : readAttempt();
            if (item.isPresent()) {
                return item.get();
            }
        }
    }

    private void confirmDelivery() {
        if (undelivered == null) {
            return;
        }
        String text = undelivered.text();
        undelivered = null;
        if (!isBuffered) {
            monitor.onResponseStarted();
        }
        if (attempt == null) {
            return;
        }
        int tokens = attempt.recordDelivered(text.length());
        if (tokens > 0) {
            timer.onTokens();
            ticket.onProgress(attempt.id(), tokens);
        }
    }

    private Optional<CompletionItem> openAttempt() {
        Either<Refusal, Dispatch> decision = waiter.await(mayHaveRun);
        if (decision.isLeft()) {
            return Optional.of(refuse(decision.getLeft()));
        }
        Dispatch dispatch = decision.get();
        if (!assembler.text().isEmpty() || !assembler.isResumable()) {
            Optional<CompletionItem> settled = endOrRestart(dispatch);
            if (settled.isPresent()) {
                return settled;
            }
        }
        Optional<String> address = waiter.addressOf(dispatch.upstream());
        if (address.isEmpty()) {
            report(dispatch, Outcome.NOT_SENT);
            return Optional.empty();
        }
        EngineRequest engineRequest = engineRequest();
        byte[] body = prefill(dispatch, engineRequest).orElseGet(engineRequest::toBytes);
        if (!monitor.isResponseNeeded()) {
            return onOpenFailed(dispatch, EngineAttempt.FailedOpen.of(Outcome.CANCELLED));
        }
        resumedPromptTokens = completion.resumeTokens(assembler.text());
        Either<EngineAttempt.FailedOpen, EngineAttempt> opened =
                EngineAttempt.open(request, completion.kind(), dispatch, address.get(), body, monitor);
        if (opened.isRight()) {
            attempt = opened.get();
            return Optional.empty();
        }
        return onOpenFailed(dispatch, opened.getLeft());
    }

    /** Ends an answer that needs no further engine, or that none can go on with. */
    private Optional<CompletionItem> endOrRestart(Dispatch dispatch) {
        if (assembler.isResumable()) {
            return isLengthLimitReached() ? Optional.of(endAtLengthLimit(dispatch)) : Optional.empty();
        }
        if (isBuffered) {
            // Nothing has reached the caller, so another engine may begin again.
            assembler = newAssembler();
            billing.discardOutput();
            return Optional.empty();
        }
        report(dispatch, Outcome.CANCELLED);
        return Optional.of(refuse(Refusal.upstreamLost("the engine was lost in the middle of an answer")));
    }

    private CompletionItem endAtLengthLimit(Dispatch dispatch) {
        report(dispatch, Outcome.COMPLETED);
        CompletionChunk last = assembler.lengthChunk();
        assembler.add(last);
        undelivered = last;
        lengthLimitAttempt = Optional.of(dispatch.attempt());
        ended = true;
        return new CompletionItem.Part(last);
    }

    private boolean isLengthLimitReached() {
        return completion.hasOutputLimit() && billing.totalOutputTokens() >= completion.maximumOutputTokens();
    }

    /** Lets another engine process the prompt first; empty when none is to, or when it fails. */
    private Optional<byte[]> prefill(Dispatch dispatch, EngineRequest engineRequest) {
        Optional<String> address = dispatch.prefill().flatMap(waiter::addressOf);
        if (address.isEmpty()) {
            return Optional.empty();
        }
        PrefillStep step = new PrefillStep(request, completion.kind(), dispatch, monitor);
        Optional<byte[]> body = step.run(address.get(), engineRequest);
        mayHaveRun |= step.mayHaveRun();
        return body;
    }

    private EngineRequest engineRequest() {
        return assembler.text().isEmpty()
                ? EngineRequest.initial(completion)
                : EngineRequest.resumed(completion, assembler.text(), billing.totalOutputTokens());
    }

    private Optional<CompletionItem> onOpenFailed(Dispatch dispatch, EngineAttempt.FailedOpen end) {
        mayHaveRun |= mayHaveRunAfter(end.outcome());
        report(dispatch, end.outcome());
        if (end.rejectionResponse().isPresent()) {
            ended = true;
            return Optional.of(
                    new CompletionItem.Rejected(end.rejectionResponse().get()));
        }
        if (end.outcome() == Outcome.CANCELLED) {
            return Optional.of(refuse(monitor.refusal(mayHaveRun)));
        }
        return Optional.empty();
    }

    private static boolean mayHaveRunAfter(Outcome outcome) {
        return outcome != Outcome.NOT_RUN && outcome != Outcome.NOT_SENT;
    }

    private void report(Dispatch dispatch, Outcome outcome) {
        request.components().metrics().recordAttemptEnd(dispatchRequest.service(), outcome.name());
        ticket.onAttemptEnd(dispatch.attempt(), new AttemptEnd(outcome, 0, 0));
    }

    private Optional<CompletionItem> readAttempt() {
        if (!monitor.isResponseNeeded()) {
            return onAttemptLost(Outcome.CANCELLED);
        }
        String data;
        try {
            data = attempt.nextEvent();
        } catch (UpstreamException e) {
            return onAttemptLost(EngineAttempt.outcomeOf(e));
        }
        if (data == null) {
            return onAttemptLost(Outcome.CRASHED);
        }
        if (data.trim().equals(CompletionChunk.DONE)) {
            return assembler.isFinished() ? Optional.of(completeAttempt()) : onAttemptLost(Outcome.CRASHED);
        }
        Optional<CompletionChunk> chunk = CompletionChunk.parse(completion.kind(), data);
        return chunk.isEmpty() ? onAttemptLost(Outcome.CRASHED) : processChunk(chunk.get());
    }

    private Optional<CompletionItem> processChunk(CompletionChunk chunk) {
        if (chunk.errorCode().isPresent()) {
            boolean refused =
                    chunk.errorCode().get().equals(EngineAttempt.NOT_ADMITTED_CODE) && attempt.deliveredTokens() == 0;
            return onAttemptLost(refused ? Outcome.NOT_RUN : Outcome.CRASHED);
        }
        chunk.usage().ifPresent(attempt::recordUsage);
        if (!assembler.add(chunk)) {
            return Optional.empty();
        }
        undelivered = chunk;
        return Optional.of(new CompletionItem.Part(chunk));
    }

    private CompletionItem completeAttempt() {
        EngineAttempt last = attempt;
        attempt = null;
        last.finish(request.span());
        return complete(last, Outcome.COMPLETED);
    }

    private CompletionItem complete(EngineAttempt last, Outcome outcome) {
        // What earlier engines delivered came back to this one as a part of its prompt.
        long promptTokens = last.usage()
                .map(usage -> Math.max(0, usage.promptTokens() - resumedPromptTokens))
                .orElse(completion.promptTokens());
        long cachedTokens = Math.min(
                promptTokens, last.usage().map(TokenUsage::cachedTokens).orElse(0L));
        billing.addOutput(last.id(), last.deliveredTokens());
        ended = true;
        reportEnd(last, outcome, promptTokens);
        billing.complete(last.id(), promptTokens);
        return new CompletionItem.End(new TokenUsage(promptTokens, billing.totalOutputTokens(), cachedTokens));
    }

    private void reportEnd(EngineAttempt last, Outcome outcome, long promptTokens) {
        request.components().metrics().recordAttemptEnd(dispatchRequest.service(), outcome.name());
        ticket.onAttemptEnd(last.id(), new AttemptEnd(outcome, promptTokens, last.deliveredTokens()));
    }

    private Optional<CompletionItem> onAttemptLost(Outcome outcome) {
        EngineAttempt lost = attempt;
        attempt = null;
        lost.abort(request.span(), outcome);
        if (assembler.isFinished() && outcome != Outcome.CANCELLED) {
            // Only the closing events are missing; the caller's answer is whole.
            CompletionItem item = complete(lost, outcome);
            ticket.close();
            return Optional.of(item);
        }
        mayHaveRun |= mayHaveRunAfter(outcome);
        billing.addOutput(lost.id(), lost.deliveredTokens());
        reportEnd(lost, outcome, 0);
        return outcome == Outcome.CANCELLED ? Optional.of(refuse(monitor.refusal(true))) : Optional.empty();
    }

    private CompletionItem refuse(Refusal refusal) {
        ended = true;
        ticket.close();
        if (isBuffered) {
            billing.discardOutput();
        }
        billing.completePartial(completion.promptTokens());
        return new CompletionItem.Refused(refusal);
    }

    /** Cancels whatever still runs, for a caller that can't be reached any more. Does nothing after the end. */
    @Override
    public void close() {
        if (attempt != null) {
            onAttemptLost(Outcome.CANCELLED);
        }
        if (!ended) {
            refuse(Refusal.upstreamLost("the caller has gone"));
        }
        ticket.close();
    }
}
