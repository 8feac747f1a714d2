/** Site-wide limits of client accounts, enforced without communication between nodes for each request. */
package org.cactusshift.internal.coordination.limits;
