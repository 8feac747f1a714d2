/** Calls to the platform's interfaces for usage, orders to engines and ordering upstreams. */
package org.cactusshift.internal.transport.platform;
