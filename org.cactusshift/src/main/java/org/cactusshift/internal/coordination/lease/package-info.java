/**
 * Leases for duties, the coordinator roles of a site that one node at a time performs. A node acquires and renews its
 * duties under a lease of the key-value store, treats the lease as expired by its own clock, and the writes of former
 * holders are fenced off by store revisions.
 */
package org.cactusshift.internal.coordination.lease;
