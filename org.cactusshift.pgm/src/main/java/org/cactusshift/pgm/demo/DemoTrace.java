package org.cactusshift.pgm.demo;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.id.ServiceId;
import org.cactusshift.replay.Trace;
import org.cactusshift.replay.TraceEvent;
import org.cactusshift.replay.TraceReader;

/** Converts a window of a recorded trace to calls. */
final class DemoTrace {
    private static final int TOKEN_CHARS = 4;
    private static final int PROMPT_PART_TOKENS = 2_048;
    private static final String FILLER = "0123456789abcdef";
    private static final int NON_STREAMED_PERIOD = 4;

    private DemoTrace() {}

    /**
     * Reads the calls of a window.
     *
     * @param file the trace
     * @param site the configuration, whose accounts replace those of the trace
     * @param fromMillis the start of the window
     * @param untilMillis the end of the window
     * @return the calls in the order of their times, which count from the start of the window
     * @throws CactusshiftException if the trace can't be read
     */
    static List<DemoCall> read(Path file, SiteConfig site, long fromMillis, long untilMillis)
            throws CactusshiftException {
        var read = TraceReader.read(file);
        if (read.isLeft()) {
            throw new CactusshiftException(read.getLeft());
        }
        Trace trace = read.get();
        List<String> accountIds =
                trace.header().accounts().stream().map(account -> account.id()).toList();
        List<DemoCall> calls = new ArrayList<>();
        for (TraceEvent event : trace.events()) {
            boolean inWindow = event.atMillis() >= fromMillis && event.atMillis() < untilMillis;
            if (inWindow && event instanceof TraceEvent.Request request) {
                AccountConfig account = accountFor(accountIds.indexOf(request.account()), request, site);
                calls.add(toCall(request, account, fromMillis, calls.size()));
            }
        }
        return calls;
    }

    /** Returns the account with the same index, modulo their number, among those that may call the service. */
    private static AccountConfig accountFor(int index, TraceEvent.Request request, SiteConfig site) {
        ServiceId service = ServiceId.fromString(request.service());
        List<AccountConfig> allowed = site.accounts().stream()
                .filter(account -> account.services().contains(service))
                .toList();
        return allowed.get(index % allowed.size());
    }

    private static DemoCall toCall(TraceEvent.Request request, AccountConfig account, long fromMillis, int index) {
        boolean isPayout = request.promptTokens() == 0 && !request.repeatable();
        return new DemoCall(
                request.atMillis() - fromMillis,
                account.id(),
                ServiceId.fromString(request.service()),
                promptText(request),
                (int) request.outputTokens(),
                index % NON_STREAMED_PERIOD != 0,
                isPayout ? Optional.of(request.id()) : Optional.empty(),
                request.timeoutMillis());
    }

    /** Returns a text of the length of the prompt; prompts with the same prefix share their beginning. */
    private static String promptText(TraceEvent.Request request) {
        int lengthChars = (int) request.promptTokens() * TOKEN_CHARS;
        StringBuilder text = new StringBuilder(lengthChars + FILLER.length());
        if (request.prefix() != null && !request.prefix().isEmpty()) {
            appendFiller(text, request.prefix() + " ", request.sharedPieces() * PROMPT_PART_TOKENS * TOKEN_CHARS);
        }
        appendFiller(text, request.id() + " ", lengthChars);
        text.setLength(lengthChars);
        return text.toString();
    }

    private static void appendFiller(StringBuilder text, String start, int lengthChars) {
        text.append(start);
        while (text.length() < lengthChars) {
            text.append(FILLER);
        }
    }
}
