/**
 * Quotas of client accounts over all nodes together: the credit of a node and the coordinator that grants it. Reads no
 * clock and does no I/O.
 */
package org.cactusshift.internal.coordination.quota;
