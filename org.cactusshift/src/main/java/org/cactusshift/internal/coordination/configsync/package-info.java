/** Stores the accepted configuration of a site and distributes it to the nodes. */
package org.cactusshift.internal.coordination.configsync;
