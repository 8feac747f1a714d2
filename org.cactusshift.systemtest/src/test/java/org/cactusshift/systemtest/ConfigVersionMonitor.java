package org.cactusshift.systemtest;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Polls the configuration version of each node and records each change to an older version. */
final class ConfigVersionMonitor implements AutoCloseable {
    private static final long POLL_INTERVAL_MILLIS = 200;

    private final FaultTestSite site;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    private final Map<String, Long> versionByNode = new HashMap<>();

    private final List<String> regressions = new ArrayList<>();

    private ConfigVersionMonitor(FaultTestSite site) {
        this.site = site;
    }

    static ConfigVersionMonitor start(FaultTestSite site) {
        ConfigVersionMonitor monitor = new ConfigVersionMonitor(site);
        monitor.timer.scheduleWithFixedDelay(monitor::poll, 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return monitor;
    }

    private void poll() {
        for (SiteNode node : site.nodes()) {
            try {
                recordVersion(
                        node.name(),
                        node.status(site.client()).path("configVersion").asLong());
            } catch (IOException e) {
                // A node that is starting, paused or stopped does not answer at its status endpoint.
                continue;
            }
        }
    }

    private synchronized void recordVersion(String node, long version) {
        Long previous = versionByNode.put(node, version);
        if (previous != null && version < previous) {
            regressions.add(node + " from " + previous + " to " + version);
        }
    }

    /** Returns the version that was last read from a node; 0 when none has been read. */
    synchronized long latestVersion(SiteNode node) {
        return versionByNode.getOrDefault(node.name(), 0L);
    }

    /** Returns a description of each change from a version to an older one. */
    synchronized List<String> regressions() {
        return List.copyOf(regressions);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
