package org.cactusshift.node.internal;

import java.util.Optional;
import org.cactusshift.internal.coordination.configsync.ConfigDistributor;
import org.cactusshift.internal.coordination.dispatch.DispatchService;
import org.cactusshift.internal.coordination.key.KeyFreshness;

/** Decides whether a node accepts requests. Thread-safe. */
final class NodeReadiness {
    private final ConfigDistributor config;
    private final DispatchService dispatch;
    private final KeyFreshness freshness;
    private volatile boolean stopping;

    private NodeReadiness(ConfigDistributor config, DispatchService dispatch, KeyFreshness freshness) {
        this.config = config;
        this.dispatch = dispatch;
        this.freshness = freshness;
    }

    static NodeReadiness create(ConfigDistributor config, DispatchService dispatch, KeyFreshness freshness) {
        return new NodeReadiness(config, dispatch, freshness);
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
        // The configuration is active before the dispatchers are created.
        if (dispatch.installedVersion() == 0) {
            return Optional.of(config.missingConfigReason().orElse("the configuration is being installed"));
        }
        return freshness.status(nowMillis) == KeyFreshness.Status.CUT_OFF
                ? Optional.of("the node can't show that its view of the keys is recent")
                : Optional.empty();
    }
}
