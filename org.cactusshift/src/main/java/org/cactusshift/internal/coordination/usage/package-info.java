/**
 * Usage accounting: each node counts tokens and requests by client account and service and hands the counts over to the
 * holders of the usage shards, which add them up in time windows and report each window to the platform once it is
 * sealed.
 */
package org.cactusshift.internal.coordination.usage;
