/**
 * Request queues that determine the order in which queued requests are served, so that no client account starves
 * another.
 */
package org.cactusshift.internal.coordination.fairness;
