/**
 * Routing policies of the dispatcher, which select the upstream of a request from a possibly stale view of the fleet,
 * and the upstream state that they use; without clock, thread or I/O.
 */
package org.cactusshift.internal.coordination.routing;
