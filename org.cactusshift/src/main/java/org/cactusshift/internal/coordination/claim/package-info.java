/** Durable claims of calls that may run at most once. */
package org.cactusshift.internal.coordination.claim;
