/** Limits on retries, as state machines without clock, thread or I/O. */
package org.cactusshift.internal.coordination.retry;
