/**
 * Capacity planning: how many upstreams to order or release, in which failure domain, and whether reclaimable or
 * on-demand.
 */
package org.cactusshift.internal.coordination.capacity;
