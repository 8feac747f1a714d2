/** The retry budget of the dispatcher; without clock, thread or I/O. */
package org.cactusshift.internal.coordination.retry;
