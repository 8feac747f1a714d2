package org.cactusshift.internal.coordination.key;

/**
 * Determines how many nodes of a failure domain must report that they have no store contact before the whole domain
 * counts as without contact.
 */
interface EvidenceQuorum {
    /**
     * Returns the required number of nodes for a failure domain with {@code nodes} of the site's {@code allNodes}
     * nodes.
     */
    int requiredReports(int nodes, int allNodes);
}
