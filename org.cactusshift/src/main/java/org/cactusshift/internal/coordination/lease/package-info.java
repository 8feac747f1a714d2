/** Duty leases: who may act for a shard, counted on the holder's own clock and fenced by the store's revisions. */
package org.cactusshift.internal.coordination.lease;
