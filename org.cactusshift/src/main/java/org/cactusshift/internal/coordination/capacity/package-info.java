/**
 * Capacity planning: how many upstreams to order or release, in which failure domain, and whether reclaimable or
 * on-demand. Used by the replay; the relay uses {@link org.cactusshift.internal.coordination.serving.FleetPlanner}.
 */
package org.cactusshift.internal.coordination.capacity;
