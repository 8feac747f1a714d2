package org.cactusshift.node.internal;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.cactusshift.internal.coordination.change.PlannedChange;
import org.cactusshift.internal.coordination.configsync.ConfigSource;
import org.cactusshift.internal.coordination.membership.MembershipTable;

/**
 * The parts of the node that planned changes need.
 *
 * @param config the configuration in force
 * @param membership the other nodes
 * @param drains the drains of this node
 * @param workers runs calls that block
 * @param listener hears of changes that were carried out or put off; must not block
 */
record PlannedChangeDependencies(
        ConfigSource config,
        MembershipTable membership,
        UpstreamDrains drains,
        Executor workers,
        Consumer<PlannedChange> listener) {}
