/**
 * Request queues that determine the order in which queued requests are served: fair queueing, with which no client
 * account starves another, and first-in-first-out as a baseline.
 */
package org.cactusshift.internal.coordination.fairness;
