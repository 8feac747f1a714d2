/** Durable claims for calls that may run at most once. */
package org.cactusshift.internal.coordination.claim;
