/** Limits of client accounts over all nodes, kept without a call for each request. */
package org.cactusshift.internal.coordination.limits;
