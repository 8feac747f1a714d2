/** Detection of crash-inducing requests and their quarantine. */
package org.cactusshift.internal.coordination.quarantine;
