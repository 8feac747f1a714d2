/**
 * Site-wide limits of client accounts, enforced by the usage that nodes exchange periodically, without a call for each
 * request.
 */
package org.cactusshift.internal.coordination.limits;
