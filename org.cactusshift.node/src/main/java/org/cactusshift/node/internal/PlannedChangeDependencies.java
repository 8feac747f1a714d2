package org.cactusshift.node.internal;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.cactusshift.internal.coordination.change.PlannedChange;
import org.cactusshift.internal.coordination.configsync.ConfigSource;
import org.cactusshift.internal.coordination.membership.MembershipTable;

/**
 * The components that the node supplies for its {@link PlannedChangeService}.
 *
 * @param config the active configuration
 * @param membership lists the peers
 * @param drains starts and ends drains on this node
 * @param workers runs blocking calls
 * @param listener receives the changes that were completed or postponed; must not block
 */
record PlannedChangeDependencies(
        ConfigSource config,
        MembershipTable membership,
        UpstreamDrains drains,
        Executor workers,
        Consumer<PlannedChange> listener) {}
