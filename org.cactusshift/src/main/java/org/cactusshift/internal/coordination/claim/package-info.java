/**
 * Claims: durable records that reserve an idempotency key for one attempt of a call that may run at most once, and
 * later keep its outcome.
 */
package org.cactusshift.internal.coordination.claim;
