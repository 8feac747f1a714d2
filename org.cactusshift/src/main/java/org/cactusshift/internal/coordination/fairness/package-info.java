/** In which order waiting requests are served, so that no client account starves another. */
package org.cactusshift.internal.coordination.fairness;
