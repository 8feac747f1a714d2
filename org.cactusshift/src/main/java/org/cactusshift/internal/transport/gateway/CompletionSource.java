package org.cactusshift.internal.transport.gateway;

import io.vavr.control.Either;
import java.util.Optional;
import org.cactusshift.id.AttemptId;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd;
import org.cactusshift.internal.coordination.dispatch.AttemptEnd.Outcome;
import org.cactusshift.internal.coordination.dispatch.DispatchDecision.Dispatch;
import org.cactusshift.internal.coordination.dispatch.DispatchRequest;
import org.cactusshift.internal.coordination.dispatch.DispatchTicket;
import org.cactusshift.internal.protocol.openai.AnswerAssembler;
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
    private final RequestWatch watch;
    private final DecisionWaiter waiter;
    private final CompletionBilling billing;
    private final CompletionTimer timer;
    private final boolean deliversAtEnd;
    private AnswerAssembler assembler;
    private EngineAttempt attempt;
    private CompletionChunk undelivered;
    private Optional<AttemptId> closingAttempt = Optional.empty();
    private long resumeTokens;
    private boolean mayHaveRun;
    private boolean ended;

    CompletionSource(
            GatewayRequest request,
            CompletionRequest completion,
            DispatchRequest dispatchRequest,
            DispatchTicket ticket,
            Caller caller,
            RequestWatch watch) {
        this.request = request;
        this.completion = completion;
        this.dispatchRequest = dispatchRequest;
        this.ticket = ticket;
        this.watch = watch;
        this.waiter = new DecisionWaiter(request, ticket, watch);
        this.assembler = newAssembler();
        this.billing = new CompletionBilling(request.components(), caller, dispatchRequest.service());
        this.timer = new CompletionTimer(request, dispatchRequest.service());
        this.deliversAtEnd = !completion.isStreamed();
    }

    private AnswerAssembler newAssembler() {
        String prefix = completion.kind() == CompletionRequest.Kind.CHAT ? "chatcmpl-" : "cmpl-";
        return AnswerAssembler.create(completion, prefix + request.id());
    }

    AnswerAssembler assembler() {
        return assembler;
    }

    /** Returns the next item; the one before counts as delivered to the caller. */
    CompletionItem next() {
        settle();
        if (closingAttempt.isPresent()) {
            billing.complete(closingAttempt.get(), completion.promptTokens());
            return new CompletionItem.End(new TokenUsage(completion.promptTokens(), billing.totalOutputTokens(), 0));
        }
        while (true) {
            Optional<CompletionItem> item = attempt == null ? openAttempt() : readAttempt();
            if (item.isPresent()) {
                return item.get();
            }
        }
    }

    private void settle() {
        if (undelivered == null) {
            return;
        }
        String text = undelivered.text();
        undelivered = null;
        if (!deliversAtEnd) {
            watch.noteAnswerBegun();
        }
        if (attempt == null) {
            return;
        }
        int tokens = attempt.noteDelivered(text.length());
        if (tokens > 0) {
            timer.onTokens();
            ticket.onProgress(attempt.id(), tokens);
        }
    }

    private Optional<CompletionItem> openAttempt() {
        Either<Refusal, Dispatch> decision = waiter.await(mayHaveRun);
        if (decision.isLeft()) {
            return Optional.of(giveUp(decision.getLeft()));
        }
        Dispatch dispatch = decision.get();
        if (!assembler.text().isEmpty() || !assembler.isResumable()) {
            Optional<CompletionItem> settled = endWithoutEngine(dispatch);
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
        if (!watch.isResponseNeeded()) {
            return afterFailedOpen(dispatch, EngineAttempt.Ended.of(Outcome.CANCELLED));
        }
        resumeTokens = completion.resumeTokens(assembler.text());
        Either<EngineAttempt.Ended, EngineAttempt> opened =
                EngineAttempt.open(request, completion.kind(), dispatch, address.get(), body, watch);
        if (opened.isRight()) {
            attempt = opened.get();
            return Optional.empty();
        }
        return afterFailedOpen(dispatch, opened.getLeft());
    }

    /** Ends an answer that needs no further engine, or that none can go on with. */
    private Optional<CompletionItem> endWithoutEngine(Dispatch dispatch) {
        if (assembler.isResumable()) {
            return isLengthReached() ? Optional.of(closeAtLength(dispatch)) : Optional.empty();
        }
        if (deliversAtEnd) {
            // Nothing has reached the caller, so another engine may begin again.
            assembler = newAssembler();
            billing.clear();
            return Optional.empty();
        }
        report(dispatch, Outcome.CANCELLED);
        return Optional.of(giveUp(Refusal.upstreamLost("the engine was lost in the middle of an answer")));
    }

    private CompletionItem closeAtLength(Dispatch dispatch) {
        report(dispatch, Outcome.COMPLETED);
        CompletionChunk last = assembler.lengthChunk();
        assembler.add(last);
        undelivered = last;
        closingAttempt = Optional.of(dispatch.attempt());
        ended = true;
        return new CompletionItem.Part(last);
    }

    private boolean isLengthReached() {
        return completion.hasOutputLimit() && billing.totalOutputTokens() >= completion.maximumOutputTokens();
    }

    /** Lets another engine process the prompt first; empty when none is to, or when it fails. */
    private Optional<byte[]> prefill(Dispatch dispatch, EngineRequest engineRequest) {
        Optional<String> address = dispatch.prefill().flatMap(waiter::addressOf);
        if (address.isEmpty()) {
            return Optional.empty();
        }
        PrefillStep step = new PrefillStep(request, completion.kind(), dispatch, watch);
        Optional<byte[]> body = step.run(address.get(), engineRequest);
        mayHaveRun |= step.mayHaveRun();
        return body;
    }

    private EngineRequest engineRequest() {
        return assembler.text().isEmpty()
                ? EngineRequest.fresh(completion)
                : EngineRequest.resumed(completion, assembler.text(), billing.totalOutputTokens());
    }

    private Optional<CompletionItem> afterFailedOpen(Dispatch dispatch, EngineAttempt.Ended end) {
        mayHaveRun |= mayRunAfter(end.outcome());
        report(dispatch, end.outcome());
        if (end.rejection().isPresent()) {
            ended = true;
            return Optional.of(new CompletionItem.Rejected(end.rejection().get()));
        }
        if (end.outcome() == Outcome.CANCELLED) {
            return Optional.of(giveUp(watch.refusal(mayHaveRun)));
        }
        return Optional.empty();
    }

    private static boolean mayRunAfter(Outcome outcome) {
        return outcome != Outcome.NOT_RUN && outcome != Outcome.NOT_SENT;
    }

    private void report(Dispatch dispatch, Outcome outcome) {
        request.components().metrics().attemptEnded(dispatchRequest.service(), outcome.name());
        ticket.onAttemptEnd(dispatch.attempt(), new AttemptEnd(outcome, 0, 0));
    }

    private Optional<CompletionItem> readAttempt() {
        if (!watch.isResponseNeeded()) {
            return loseAttempt(Outcome.CANCELLED);
        }
        String data;
        try {
            data = attempt.nextEvent();
        } catch (UpstreamException e) {
            return loseAttempt(EngineAttempt.outcomeOf(e));
        }
        if (data == null) {
            return loseAttempt(Outcome.CRASHED);
        }
        if (data.trim().equals(CompletionChunk.DONE)) {
            return assembler.isFinished() ? Optional.of(completeAttempt()) : loseAttempt(Outcome.CRASHED);
        }
        Optional<CompletionChunk> chunk = CompletionChunk.parse(completion.kind(), data);
        return chunk.isEmpty() ? loseAttempt(Outcome.CRASHED) : take(chunk.get());
    }

    private Optional<CompletionItem> take(CompletionChunk chunk) {
        if (chunk.errorCode().isPresent()) {
            boolean refused =
                    chunk.errorCode().get().equals(EngineAttempt.NOT_ADMITTED) && attempt.deliveredTokens() == 0;
            return loseAttempt(refused ? Outcome.NOT_RUN : Outcome.CRASHED);
        }
        chunk.usage().ifPresent(attempt::noteUsage);
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
                .map(usage -> Math.max(0, usage.promptTokens() - resumeTokens))
                .orElse(completion.promptTokens());
        long cachedTokens = Math.min(
                promptTokens, last.usage().map(TokenUsage::cachedTokens).orElse(0L));
        billing.add(last.id(), last.deliveredTokens());
        ended = true;
        end(last, outcome, promptTokens);
        billing.complete(last.id(), promptTokens);
        return new CompletionItem.End(new TokenUsage(promptTokens, billing.totalOutputTokens(), cachedTokens));
    }

    private void end(EngineAttempt last, Outcome outcome, long promptTokens) {
        request.components().metrics().attemptEnded(dispatchRequest.service(), outcome.name());
        ticket.onAttemptEnd(last.id(), new AttemptEnd(outcome, promptTokens, last.deliveredTokens()));
    }

    private Optional<CompletionItem> loseAttempt(Outcome outcome) {
        EngineAttempt lost = attempt;
        attempt = null;
        lost.abandon(request.span(), outcome);
        if (assembler.isFinished() && outcome != Outcome.CANCELLED) {
            // Only the closing events are missing; the caller's answer is whole.
            CompletionItem item = complete(lost, outcome);
            ticket.close();
            return Optional.of(item);
        }
        mayHaveRun |= mayRunAfter(outcome);
        billing.add(lost.id(), lost.deliveredTokens());
        end(lost, outcome, 0);
        return outcome == Outcome.CANCELLED ? Optional.of(giveUp(watch.refusal(true))) : Optional.empty();
    }

    private CompletionItem giveUp(Refusal refusal) {
        ended = true;
        ticket.close();
        if (deliversAtEnd) {
            billing.clear();
        }
        billing.giveUp(completion.promptTokens());
        return new CompletionItem.GivenUp(refusal);
    }

    /** Cancels whatever still runs, for a caller that can't be reached any more. Does nothing after the end. */
    @Override
    public void close() {
        if (attempt != null) {
            loseAttempt(Outcome.CANCELLED);
        }
        if (!ended) {
            giveUp(Refusal.upstreamLost("the caller has gone"));
        }
        ticket.close();
    }
}
