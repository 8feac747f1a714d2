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

/** Converts a section of a recorded trace to calls. */
final class DemoTrace {
    /** Equals the length of a token in the stand-in engines. */
    private static final int CHARS_PER_TOKEN = 4;
    /** The tokens of a KV-cache block, in which the trace states the length of a shared prefix. */
    private static final int KV_BLOCK_TOKENS = 2_048;

    private static final String FILLER = "0123456789abcdef";
    /** Of this many consecutive calls, the first is non-streamed. */
    private static final int NON_STREAMED_INTERVAL_CALLS = 4;

    private DemoTrace() {}

    /**
     * Reads the calls of a section.
     *
     * @param file the trace
     * @param config the configuration; an account of it replaces each account of the trace
     * @param fromMillis the start of the section, after the start of the trace
     * @param untilMillis the end of the section, exclusive
     * @return the calls in the order of their times, which count from the start of the section
     * @throws CactusshiftException if the trace can't be read
     */
    static List<DemoCall> read(Path file, SiteConfig config, long fromMillis, long untilMillis)
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
            boolean inSection = event.atMillis() >= fromMillis && event.atMillis() < untilMillis;
            if (inSection && event instanceof TraceEvent.Request request) {
                AccountConfig account = accountFor(accountIds.indexOf(request.account()), request, config);
                calls.add(toCall(request, account, fromMillis, calls.size()));
            }
        }
        return calls;
    }

    /**
     * Returns the account of the configuration for an account of the trace: of the accounts that may call the service,
     * the one at the index of the trace's account, modulo their number.
     */
    private static AccountConfig accountFor(int index, TraceEvent.Request request, SiteConfig config) {
        ServiceId service = ServiceId.fromString(request.service());
        List<AccountConfig> allowed = config.accounts().stream()
                .filter(account -> account.services().contains(service))
                .toList();
        return allowed.get(index % allowed.size());
    }

    private static DemoCall toCall(TraceEvent.Request request, AccountConfig account, long fromMillis, int index) {
        // Of the calls to plain services, those that must not be repeated are payouts, the others balance reads.
        boolean isPayout = request.promptTokens() == 0 && !request.repeatable();
        return new DemoCall(
                request.atMillis() - fromMillis,
                account.id(),
                ServiceId.fromString(request.service()),
                promptText(request),
                (int) request.outputTokens(),
                index % NON_STREAMED_INTERVAL_CALLS != 0,
                isPayout ? Optional.of(request.id()) : Optional.empty(),
                request.timeoutMillis());
    }

    /** Returns a text of the length of the prompt; prompts with the same prefix share their beginning. */
    private static String promptText(TraceEvent.Request request) {
        int lengthChars = (int) request.promptTokens() * CHARS_PER_TOKEN;
        StringBuilder text = new StringBuilder(lengthChars + FILLER.length());
        if (request.prefix() != null && !request.prefix().isEmpty()) {
            appendFiller(text, request.prefix() + " ", request.sharedPieces() * KV_BLOCK_TOKENS * CHARS_PER_TOKEN);
        }
        appendFiller(text, request.id() + " ", lengthChars);
        text.setLength(lengthChars);
        return text.toString();
    }

    /** Appends the start, then filler until the text has at least the given total length. */
    private static void appendFiller(StringBuilder text, String start, int totalChars) {
        text.append(start);
        while (text.length() < totalChars) {
            text.append(FILLER);
        }
    }
}
