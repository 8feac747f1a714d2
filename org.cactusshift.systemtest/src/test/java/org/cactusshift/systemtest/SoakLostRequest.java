package org.cactusshift.systemtest;

import java.time.Instant;

/**
 * A request that ran and whose connection ended without a response.
 *
 * @param id the request id
 * @param nodeIndex the index of the node that it was sent to
 * @param sentAtEpochMillis when it was sent
 * @param endedAtEpochMillis when its connection ended
 * @param ending how the connection ended
 */
record SoakLostRequest(String id, int nodeIndex, long sentAtEpochMillis, long endedAtEpochMillis, String ending) {
    @Override
    public String toString() {
        return id + " at node " + nodeIndex + ", sent " + Instant.ofEpochMilli(sentAtEpochMillis) + ", ended "
                + Instant.ofEpochMilli(endedAtEpochMillis) + ": " + ending;
    }
}
