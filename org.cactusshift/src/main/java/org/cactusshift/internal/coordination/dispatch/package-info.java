/** The decision where and when a request runs, as a state machine without clock, thread or I/O. */
package org.cactusshift.internal.coordination.dispatch;
