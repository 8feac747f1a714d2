/** Coordination layer: duties, claims, configuration and the deciding code. */
package org.cactusshift.internal.coordination;
