package org.cactusshift.internal.coordination.configsync;

import java.util.Optional;

/**
 * What a node knows when it decides on the next steps of the distribution.
 *
 * @param rank the place of this node among the live nodes of its failure domain; relays have the first places
 * @param relayAddress the peer address of a relay to follow; empty when none is known or this node is one
 * @param installedVersion the version installed; 0 when none
 * @param heardVersion the highest version of which a peer told
 * @param contactAgeMillis the age of the last store contact of which this node knows; negative when there was none
 * @param watching whether the store watch is open or being opened
 * @param followedAddress the relay whose stream is open
 * @param lastReadMillis when the head was last asked for
 * @param lastWatchMillis when the watch was last opened
 * @param lastFetchMillis when peers were last asked
 * @param lastFollowMillis when a stream was last opened
 */
record DistributionState(
        int rank,
        Optional<String> relayAddress,
        long installedVersion,
        long heardVersion,
        long contactAgeMillis,
        boolean watching,
        Optional<String> followedAddress,
        long lastReadMillis,
        long lastWatchMillis,
        long lastFetchMillis,
        long lastFollowMillis) {}
