/** Keeps requests that crash upstreams from crashing more of them. */
package org.cactusshift.internal.coordination.quarantine;
