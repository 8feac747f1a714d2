/**
 * Orders to engines and for upstreams. They are recorded before they are sent, with at most one outstanding per target.
 */
package org.cactusshift.internal.coordination.order;
