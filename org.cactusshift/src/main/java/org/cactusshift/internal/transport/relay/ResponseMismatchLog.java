package org.cactusshift.internal.transport.relay;

/** Counts responses that answer no request of their connection, and logs one for each connection. */
final class ResponseMismatchLog implements ResponseMismatch.Listener {
    /** An upstream that repeats each of its responses must not fill the log. */
    private static final int MAXIMUM_LINES_PER_SECOND = 20;

    private final RelayClock clock;
    private final RelayMetrics metrics;
    private final EventLog log;
    private long secondStartedMillis;
    private int linesInSecond;
    private long linesLeftOut;

    private ResponseMismatchLog(RelayClock clock, RelayMetrics metrics, EventLog log) {
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
    }

    static ResponseMismatchLog create(RelayClock clock, RelayMetrics metrics, EventLog log) {
        return new ResponseMismatchLog(clock, metrics, log);
    }

    @Override
    public void onMismatch(ResponseMismatch mismatch) {
        metrics.onResponseMismatch(mismatch.kind().name());
        if (!mismatch.first()) {
            return;
        }
        long nowMillis = clock.monotonicMillis();
        if (nowMillis - secondStartedMillis >= 1_000) {
            secondStartedMillis = nowMillis;
            linesInSecond = 0;
        }
        if (linesInSecond == MAXIMUM_LINES_PER_SECOND) {
            linesLeftOut++;
            return;
        }
        linesInSecond++;
        log.event("response.mismatch")
                .with("kind", mismatch.kind())
                .with("address", mismatch.address())
                .with("request", mismatch.request())
                .with("status", mismatch.status())
                .with("exchangeAgeMillis", mismatch.exchangeAgeMillis())
                .with("connectionAgeMillis", mismatch.connectionAgeMillis())
                .with("linesLeftOut", linesLeftOut)
                .write();
        linesLeftOut = 0;
    }
}
