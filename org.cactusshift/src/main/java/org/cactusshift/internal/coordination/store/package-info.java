/**
 * The platform's key-value store: interfaces, in-memory implementation, call budget, and
 * compare-and-swap writes that find out after a lost response whether they were applied.
 */
package org.cactusshift.internal.coordination.store;
