package org.cactusshift.internal.coordination.serving;

import org.cactusshift.id.InstanceId;

/**
 * The node that collects usage counts, with its address. Nodes gossip it, so that a node that is isolated from the
 * store learns of a new collector too.
 *
 * @param node the node
 * @param peerAddress the address where it receives messages of peers, as {@code ADDRESS:PORT}
 * @param fencingNumber its fencing number; a higher one is newer
 */
public record UsageCollector(InstanceId node, String peerAddress, long fencingNumber) {}
