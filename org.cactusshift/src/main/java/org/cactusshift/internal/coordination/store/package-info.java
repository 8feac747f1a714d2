/** The platform's key-value service: interface, in-memory implementation, budget and conclusive writes. */
package org.cactusshift.internal.coordination.store;
