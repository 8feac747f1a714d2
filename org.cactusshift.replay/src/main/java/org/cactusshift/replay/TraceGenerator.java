package org.cactusshift.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;

/** Generates traces of the requests and fleet events of a site; the same seed gives the same trace. */
public final class TraceGenerator {
    private static final int NODES = 8;
    private static final int DOCUMENT_PHASE_START_SECONDS = 30;
    private static final int DOCUMENT_PHASE_SECONDS = 45;
    private static final int PHASE_PERIOD_SECONDS = 75;
    /** The share of the document rate at which documents arrive in scenarios that don't shift the mix. */
    private static final double STEADY_DOCUMENT_RATE_SHARE = 0.55;

    private static final double PLAIN_REQUESTS_PER_SECOND = 2;
    /** The share of each client account in the requests of the site. */
    private static final double[] ACCOUNT_REQUEST_SHARES = {0.28, 0.2, 0.16, 0.1, 0.08, 0.07, 0.06, 0.05};

    private static final double[] ACCOUNT_WEIGHTS = {3, 2, 2, 1, 1, 1, 1, 1};
    private static final int FLOODING_ACCOUNT_INDEX = 4;
    /** The document rate of the flooding client account as a multiple of the steady rate of the site. */
    private static final double FLOOD_FACTOR = 2.5;
    /** The probability that a document request continues an earlier one. */
    private static final double FOLLOW_UP_PROBABILITY = 0.5;

    private final SiteProfile profile;
    private final Scenario scenario;
    private final Random random;
    private final List<TraceEvent> events = new ArrayList<>();
    private final List<TraceEvent.Request> documents = new ArrayList<>();
    private int nextId;

    private TraceGenerator(SiteProfile profile, Scenario scenario, long seed) {
        this.profile = profile;
        this.scenario = scenario;
        this.random = new Random(seed);
    }

    /**
     * Generates a trace.
     *
     * @param profile the site
     * @param scenario the scenario
     * @param seed the seed
     * @return the trace
     */
    public static Trace generate(SiteProfile profile, Scenario scenario, long seed) {
        return new TraceGenerator(profile, scenario, seed).generate();
    }

    private Trace generate() {
        for (int second = 0; second < scenario.durationSeconds(); second++) {
            double documentRate = documentRate(second);
            double questionRate = documentRate > 0
                    ? profile.rates().questionsBeside()
                    : profile.rates().questions();
            addModelRequests(
                    second,
                    scenario.shiftsMix()
                            ? documentRate
                            : STEADY_DOCUMENT_RATE_SHARE * profile.rates().documents(),
                    true);
            addModelRequests(second, questionRate, false);
            addPlainRequests(second);
            addFlood(second);
        }
        addFleetEvents();
        events.sort(Comparator.comparingLong(TraceEvent::atMillis));
        return new Trace(header(), events);
    }

    private double documentRate(int second) {
        int inPeriod = (second - DOCUMENT_PHASE_START_SECONDS) % PHASE_PERIOD_SECONDS;
        boolean inPhase = second >= DOCUMENT_PHASE_START_SECONDS && inPeriod < DOCUMENT_PHASE_SECONDS;
        return inPhase ? profile.rates().documents() : 0;
    }

    private void addModelRequests(int second, double rate, boolean document) {
        int count = drawCount(rate);
        for (int i = 0; i < count; i++) {
            events.add(modelRequest(drawTimeMillis(second), drawAccount(), document));
        }
    }

    /**
     * Draws the number of requests in one second: the rate, changed by up to about a quarter if it is 4 or more, with
     * its fraction rounded up or down at random.
     */
    private int drawCount(double rate) {
        int whole = (int) rate;
        int jitter = whole >= 4 ? random.nextInt(whole / 2 + 1) - whole / 4 : 0;
        return whole + jitter + (random.nextDouble() < rate - whole ? 1 : 0);
    }

    private long drawTimeMillis(int second) {
        return second * 1_000L + random.nextInt(1_000);
    }

    private int drawAccount() {
        double remaining = random.nextDouble();
        for (int i = 0; i < ACCOUNT_REQUEST_SHARES.length; i++) {
            remaining -= ACCOUNT_REQUEST_SHARES[i];
            if (remaining < 0) {
                return i;
            }
        }
        return ACCOUNT_REQUEST_SHARES.length - 1;
    }

    private String accountId(int account) {
        return "account-" + (account + 1);
    }

    private TraceEvent.Request modelRequest(long atMillis, int account, boolean document) {
        SiteProfile.RequestProfile requestProfile = document ? profile.documents() : profile.questions();
        String id = "r" + nextId++;
        int prompt = drawBetween(requestProfile.shortestPrompt(), requestProfile.longestPrompt());
        String prefix = requestProfile.sharedPieces() > 0 ? requestProfile.kind() + "-" + accountId(account) : null;
        int sharedPieces = requestProfile.sharedPieces();
        if (requestProfile.followsUp() && !documents.isEmpty() && random.nextDouble() < FOLLOW_UP_PROBABILITY) {
            // Continues one of the last 20 documents with a question of 50 to 200 tokens.
            TraceEvent.Request earlier =
                    documents.get(documents.size() - 1 - random.nextInt(Math.min(20, documents.size())));
            account = Integer.parseInt(earlier.account().substring("account-".length())) - 1;
            prefix = earlier.prefix();
            sharedPieces = earlier.sharedPieces();
            prompt = (int) earlier.promptTokens() + drawBetween(50, 200);
        } else if (requestProfile.followsUp()) {
            prefix = "file-" + id;
            // All complete KV-cache blocks, of 2,048 tokens each, can be shared with follow-up requests.
            sharedPieces = prompt / 2_048;
        }
        int output = drawBetween(requestProfile.shortestOutput(), requestProfile.longestOutput());
        TraceEvent.Request request = new TraceEvent.Request(
                atMillis,
                id,
                accountId(account),
                profile.modelService(),
                requestProfile.kind(),
                prompt,
                output,
                requestProfile.longestOutput() * 2L,
                prefix,
                sharedPieces,
                0,
                requestProfile.timeoutMillis(),
                true,
                random.nextLong(),
                false);
        if (document) {
            documents.add(request);
        }
        return request;
    }

    private int drawBetween(int minimum, int maximum) {
        return minimum + random.nextInt(maximum - minimum + 1);
    }

    private void addPlainRequests(int second) {
        int count = drawCount(PLAIN_REQUESTS_PER_SECOND);
        for (int i = 0; i < count; i++) {
            // Transfers are not repeatable, balance queries are.
            boolean transfer = random.nextBoolean();
            events.add(new TraceEvent.Request(
                    drawTimeMillis(second),
                    "r" + nextId++,
                    accountId(drawAccount()),
                    profile.plainService(),
                    transfer ? "transfer" : "balance",
                    0,
                    0,
                    0,
                    null,
                    0,
                    transfer ? drawBetween(80, 200) : drawBetween(10, 40),
                    transfer ? 10_000 : 3_000,
                    !transfer,
                    random.nextLong(),
                    false));
        }
    }

    private void addFlood(int second) {
        // The first and the last 15 seconds of the trace have no flood.
        boolean inFlood = second >= 15 && second < scenario.durationSeconds() - 15;
        if (!scenario.floods() || !inFlood) {
            return;
        }
        int count = drawCount(
                FLOOD_FACTOR * STEADY_DOCUMENT_RATE_SHARE * profile.rates().documents());
        for (int i = 0; i < count; i++) {
            events.add(modelRequest(drawTimeMillis(second), FLOODING_ACCOUNT_INDEX, true));
        }
    }

    private void addFleetEvents() {
        long endMillis = scenario.durationSeconds() * 1_000L;
        if (scenario.losesDomain()) {
            // Reclaimed at 29 s after a notice of 4 s, back 50 s later.
            events.add(new TraceEvent.Reclaim(25_000, profile.failureDomain(1), 4_000, 50_000));
            events.add(new TraceEvent.Crash(60_000, profile.modelService() + "-0", Optional.empty()));
            events.add(new TraceEvent.Withdraw(90_000, profile.modelService() + "-2"));
        }
        if (scenario.delaysReports()) {
            // Load reports are 4 s old on arrival, except in the first and the last 20 s of the trace.
            events.add(new TraceEvent.ReportLag(20_000, 4_000, endMillis - 20_000));
        }
        if (scenario.hasCrashingRequest()) {
            addCrashingRequests();
        }
    }

    private void addCrashingRequests() {
        long fingerprint = random.nextLong();
        for (long atMillis = 10_000; atMillis < 50_000; atMillis += 4_000) {
            TraceEvent.Request template = modelRequest(atMillis, 5, true);
            events.add(new TraceEvent.Request(
                    template.atMillis(),
                    template.id(),
                    template.account(),
                    template.service(),
                    "crashing",
                    profile.documents().shortestPrompt(),
                    template.outputTokens(),
                    template.maximumOutputTokens(),
                    null,
                    0,
                    0,
                    template.timeoutMillis(),
                    true,
                    fingerprint,
                    true));
        }
    }

    private TraceHeader header() {
        List<TraceAccount> accounts = new ArrayList<>();
        for (int i = 0; i < ACCOUNT_REQUEST_SHARES.length; i++) {
            boolean flooding = scenario.floods() && i == FLOODING_ACCOUNT_INDEX;
            accounts.add(new TraceAccount(accountId(i), ACCOUNT_WEIGHTS[i], 0, 0, flooding));
        }
        // The numbers: a load report every 250 ms that is 1,000 ms old on arrival, an exchange between nodes every
        // 500 ms, 8 s for a role change, 60 s until an ordered upstream serves.
        return new TraceHeader(
                Trace.FORMAT_VERSION,
                profile.site() + "-" + scenario.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                profile.site(),
                NODES,
                scenario.durationSeconds() * 1_000L,
                250,
                1_000,
                500,
                8_000,
                60_000,
                profile.services(),
                accounts,
                profile.upstreams(),
                outcomes());
    }

    private List<ExpectedOutcome> outcomes() {
        List<ExpectedOutcome> outcomes = new ArrayList<>();
        if (scenario.shiftsMix()) {
            outcomes.add(ExpectedOutcome.atLeastRatio(PolicyResult.GOODPUT, ExpectedOutcome.BEST_BASELINE, 1.5));
            outcomes.add(ExpectedOutcome.atMostRatio(PolicyResult.ROLE_CHANGES, ReplayPolicy.THRESHOLD_ROLES, 0.99));
            outcomes.add(ExpectedOutcome.atLeastRatio(PolicyResult.GOODPUT, ReplayPolicy.THRESHOLD_ROLES, 1));
        }
        outcomes.add(ExpectedOutcome.atLeastRatio(PolicyResult.GOODPUT, ReplayPolicy.ORACLE, 0.95));
        if (scenario.floods()) {
            outcomes.add(ExpectedOutcome.atLeast(PolicyResult.WORST_ACCOUNT, 0.9));
        }
        outcomes.add(ExpectedOutcome.atMostRatio(PolicyResult.COST, ReplayPolicy.ALL_ON_DEMAND, 0.7));
        outcomes.add(ExpectedOutcome.atMost(PolicyResult.LOST_NON_REPEATABLE, 0));
        outcomes.add(ExpectedOutcome.atMost(PolicyResult.DUPLICATE_RUNS, 0));
        outcomes.add(ExpectedOutcome.atMost(PolicyResult.ENGINES_CRASHED_BY_ONE_REQUEST, 2));
        outcomes.add(ExpectedOutcome.atMost(PolicyResult.FALSE_QUARANTINE_REFUSALS, 0));
        return outcomes;
    }
}
