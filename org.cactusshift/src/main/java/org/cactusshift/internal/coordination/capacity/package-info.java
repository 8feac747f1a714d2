/** How many upstreams to order or release, where, and of which kind. */
package org.cactusshift.internal.coordination.capacity;
