package org.cactusshift.systemtest;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Reads the configuration version of each node again and again and notes each step back. */
final class ConfigVersionMonitor implements AutoCloseable {
    private static final long POLL_INTERVAL_MILLIS = 200;

    private final SystemSite site;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    private final Map<String, Long> versionByNode = new HashMap<>();

    private final List<String> regressions = new ArrayList<>();

    private ConfigVersionMonitor(SystemSite site) {
        this.site = site;
    }

    static ConfigVersionMonitor start(SystemSite site) {
        ConfigVersionMonitor watch = new ConfigVersionMonitor(site);
        watch.timer.scheduleWithFixedDelay(watch::poll, 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return watch;
    }

    private void poll() {
        for (SiteNode node : site.nodes()) {
            try {
                recordVersion(
                        node.name(),
                        node.status(site.client()).path("configVersion").asLong());
            } catch (IOException e) {
                // A node that is starting, paused or gone shows no version.
                continue;
            }
        }
    }

    private synchronized void recordVersion(String node, long version) {
        Long before = versionByNode.put(node, version);
        if (before != null && version < before) {
            regressions.add(node + " from " + before + " to " + version);
        }
    }

    /** Returns the latest version read of a node; 0 when none was read. */
    synchronized long latestVersion(SiteNode node) {
        return versionByNode.getOrDefault(node.name(), 0L);
    }

    /** Returns each step from a version to an older one. */
    synchronized List<String> regressions() {
        return List.copyOf(regressions);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
