package org.cactusshift.internal.coordination.usage;

import java.util.concurrent.atomic.LongAdder;
import org.cactusshift.messages.UsageBatch;
import org.cactusshift.messages.UsageCount;

/** Counts the results of usage reports and hand-overs at one node, for its metrics. */
public final class UsageCounters {
    private final LongAdder windowsRecorded = new LongAdder();
    private final LongAdder windowsConflicting = new LongAdder();
    private final LongAdder requestsRefused = new LongAdder();

    /**
     * Returns the number of windows reported by this node that the usage interface recorded.
     *
     * @return the number since the start
     */
    public long windowsRecorded() {
        return windowsRecorded.sum();
    }

    /**
     * Returns the number of windows for which the usage interface had recorded different counts.
     *
     * @return the number since the start
     */
    public long windowsConflicting() {
        return windowsConflicting.sum();
    }

    /**
     * Returns the number of requests of this node whose usage the holder refused as possibly counted before, so that it
     * was dropped.
     *
     * @return the number since the start
     */
    public long requestsRefused() {
        return requestsRefused.sum();
    }

    void onReported(UsageReporter.Receipt receipt) {
        (receipt == UsageReporter.Receipt.RECORDED ? windowsRecorded : windowsConflicting).increment();
    }

    void onRefused(UsageBatch batch) {
        requestsRefused.add(batch.getCountsList().stream()
                .mapToLong(UsageCount::getRequests)
                .sum());
    }
}
