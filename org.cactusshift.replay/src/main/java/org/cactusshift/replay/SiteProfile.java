package org.cactusshift.replay;

import java.util.ArrayList;
import java.util.List;
import org.cactusshift.config.ServiceConfig;

/** The fleets and request profiles of the two sites for which traces are generated. */
public enum SiteProfile {
    /** Share statements after fish landings, whose first block each client account repeats, and short questions. */
    BE_COAST(
            "be-coast",
            List.of("ostend-a", "zeebrugge-b", "nieuwpoort-c", "bruges-d"),
            "share-lm",
            8,
            "settle-app",
            new RequestProfile("logbook", 4_000, 10_000, 120, 250, 25_000, 1, false),
            new RequestProfile("quay", 150, 500, 30, 80, 5_000, 0, false),
            new RequestRates(8.5, 8, 22)),
    /** Summaries of dispute files, with follow-up requests on earlier files, and short questions about eligibility. */
    GH_SOUTH(
            "gh-south",
            List.of("accra-a", "accra-b", "tema-a", "kasoa-a"),
            "steward-lm",
            6,
            "fund-ledger",
            new RequestProfile("dispute", 6_000, 16_000, 150, 350, 35_000, 0, true),
            new RequestProfile("eligibility", 200, 600, 20, 60, 5_000, 0, false),
            new RequestRates(4.5, 6, 18));

    private static final int KV_CACHE_BLOCKS_PER_ENGINE = 64;
    /** Prices are in any currency that the whole trace shares. */
    private static final double ON_DEMAND_PRICE_PER_HOUR = 4;

    private static final double RECLAIMABLE_PRICE_PER_HOUR = 1.2;
    private static final double PLAIN_PRICE_PER_HOUR = 0.3;
    private static final int PLAIN_INSTANCES = 4;

    private final String site;
    private final List<String> failureDomains;
    private final String modelService;
    private final int engines;
    private final String plainService;
    private final RequestProfile documents;
    private final RequestProfile questions;
    private final RequestRates rates;

    SiteProfile(
            String site,
            List<String> failureDomains,
            String modelService,
            int engines,
            String plainService,
            RequestProfile documents,
            RequestProfile questions,
            RequestRates rates) {
        this.site = site;
        this.failureDomains = failureDomains;
        this.modelService = modelService;
        this.engines = engines;
        this.plainService = plainService;
        this.documents = documents;
        this.questions = questions;
        this.rates = rates;
    }

    /**
     * A kind of model requests; lengths are drawn uniformly between the bounds, in tokens.
     *
     * @param kind the kind, as traces name it
     * @param shortestPrompt the lower bound of the prompt length
     * @param longestPrompt the upper bound of the prompt length
     * @param shortestOutput the lower bound of the output length
     * @param longestOutput the upper bound of the output length
     * @param timeoutMillis the time from the arrival to the deadline
     * @param sharedPieces the number of KV-cache blocks that the requests of a client account share
     * @param followsUp whether requests may continue earlier ones and then share their prefix instead
     */
    record RequestProfile(
            String kind,
            int shortestPrompt,
            int longestPrompt,
            int shortestOutput,
            int longestOutput,
            long timeoutMillis,
            int sharedPieces,
            boolean followsUp) {}

    /**
     * Request rates per second.
     *
     * @param documents the rate of documents in a document phase
     * @param questionsBeside the rate of questions in a document phase
     * @param questions the rate of questions outside document phases
     */
    record RequestRates(double documents, double questionsBeside, double questions) {}

    String site() {
        return site;
    }

    String modelService() {
        return modelService;
    }

    String plainService() {
        return plainService;
    }

    RequestProfile documents() {
        return documents;
    }

    RequestProfile questions() {
        return questions;
    }

    RequestRates rates() {
        return rates;
    }

    String failureDomain(int index) {
        return failureDomains.get(index % failureDomains.size());
    }

    /** Returns the services, each with two protected upstreams. */
    List<TraceService> services() {
        return List.of(
                new TraceService(
                        modelService,
                        ServiceConfig.Kind.MODEL,
                        ON_DEMAND_PRICE_PER_HOUR,
                        RECLAIMABLE_PRICE_PER_HOUR,
                        2),
                new TraceService(
                        plainService, ServiceConfig.Kind.PLAIN, PLAIN_PRICE_PER_HOUR, PLAIN_PRICE_PER_HOUR, 2));
    }

    List<TraceUpstream> upstreams() {
        List<TraceUpstream> upstreams = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            boolean reclaimable = i % 2 == 1;
            // Reclaimable engines alternate between two failure domains, on-demand ones take all of them in turn.
            int domain = reclaimable ? 1 + (i / 2) % 2 : i / 2;
            double price = reclaimable ? RECLAIMABLE_PRICE_PER_HOUR : ON_DEMAND_PRICE_PER_HOUR;
            upstreams.add(new TraceUpstream(
                    modelService + "-" + i,
                    modelService,
                    failureDomain(domain),
                    reclaimable,
                    price,
                    KV_CACHE_BLOCKS_PER_ENGINE));
        }
        for (int i = 0; i < PLAIN_INSTANCES; i++) {
            upstreams.add(new TraceUpstream(
                    plainService + "-" + i, plainService, failureDomain(i), false, PLAIN_PRICE_PER_HOUR, 0));
        }
        return upstreams;
    }
}
