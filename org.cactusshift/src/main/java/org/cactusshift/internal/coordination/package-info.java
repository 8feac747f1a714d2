/** Coordination layer: duties, claims, configuration and the decision logic. */
package org.cactusshift.internal.coordination;
