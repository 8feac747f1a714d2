package org.cactusshift.node.internal;

import java.util.Optional;
import org.cactusshift.internal.coordination.configsync.ConfigDistributor;
import org.cactusshift.internal.coordination.key.KeyFreshness;

/** Decides whether a node accepts requests. Thread-safe. */
final class NodeReadiness {
    private final ConfigDistributor config;
    private final KeyFreshness freshness;
    private volatile boolean stopping;

    private NodeReadiness(ConfigDistributor config, KeyFreshness freshness) {
        this.config = config;
        this.freshness = freshness;
    }

    static NodeReadiness create(ConfigDistributor config, KeyFreshness freshness) {
        return new NodeReadiness(config, freshness);
    }

    /** Records that the node is shutting down. */
    void markStopping() {
        stopping = true;
    }

    /** Returns why the node doesn't accept requests; empty if it does. */
    Optional<String> notReadyReason(long nowMillis) {
        if (stopping) {
            return Optional.of("the node is shutting down");
        }
        if (config.active().isEmpty()) {
            // The configuration may have been installed between the two calls; the next check sees it.
            return Optional.of(config.missingConfigReason().orElse("the configuration is being installed"));
        }
        return freshness.status(nowMillis) == KeyFreshness.Status.CUT_OFF
                ? Optional.of("the node can't show that its view of the keys is recent")
                : Optional.empty();
    }
}
