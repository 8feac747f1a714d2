package org.cactusshift.node.internal;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.cactusshift.internal.coordination.change.PlannedChange;
import org.cactusshift.internal.coordination.configsync.ConfigSource;
import org.cactusshift.internal.coordination.membership.MembershipTable;

/**
 * The components of the node that planned changes depend on.
 *
 * @param config the active configuration
 * @param membership the peers
 * @param drains the drains of this node
 * @param workers runs blocking calls
 * @param listener receives the changes that were completed or postponed; must not block
 */
record PlannedChangeDependencies(
        ConfigSource config,
        MembershipTable membership,
        UpstreamDrains drains,
        Executor workers,
        Consumer<PlannedChange> listener) {}
