package org.cactusshift.internal.coordination.key;

/** How many nodes of a failure domain must say that they have no contact before it counts as without contact. */
interface EvidenceQuorum {
    /** Returns the number for a failure domain with {@code nodes} of the site's {@code allNodes} nodes. */
    int required(int nodes, int allNodes);
}
