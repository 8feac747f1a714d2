package org.cactusshift.internal.coordination.configsync;

import java.util.Optional;

/**
 * The state of a node from which the {@link DistributionPolicy} decides on the next steps.
 *
 * <p>Times are monotonic, in milliseconds; a time before the first attempt is far in the past.
 *
 * @param rank the rank of this node among the live nodes of its failure domain, from 0; the lowest ranks are relays
 * @param relayAddress the peer address of the relay to follow; empty when no relay is known or this node is a relay
 * @param installedVersion the installed version; 0 when no configuration is installed
 * @param heardVersion the highest version that a peer reported; 0 when none was reported
 * @param contactAgeMillis the age of the last known store contact; negative when no contact is known
 * @param watching whether the store watch is open or being opened
 * @param followedAddress the peer address of the relay whose stream is open; empty when no stream is open
 * @param lastReadMillis the time of the last attempt to read the head
 * @param lastWatchMillis the time of the last attempt to open the watch
 * @param lastFetchMillis the time of the last attempt to fetch from peers
 * @param lastFollowMillis the time of the last attempt to follow a relay
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
