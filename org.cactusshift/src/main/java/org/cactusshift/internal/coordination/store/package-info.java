/**
 * The platform's key-value store: interfaces, in-memory implementation, call budget and writes with resolved outcome.
 */
package org.cactusshift.internal.coordination.store;
