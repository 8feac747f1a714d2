/**
 * Routing policies, which select the upstream of a request from a possibly stale view of the fleet; without clock,
 * thread or I/O.
 */
package org.cactusshift.internal.coordination.routing;
