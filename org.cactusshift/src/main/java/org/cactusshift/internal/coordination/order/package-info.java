/**
 * Orders: commands to engines, and to the platform to start or release upstreams. They are recorded before they are
 * sent, with at most one outstanding per target.
 */
package org.cactusshift.internal.coordination.order;
