/** Decides where and when each request runs. The dispatchers are state machines without clock, threads or I/O. */
package org.cactusshift.internal.coordination.dispatch;
