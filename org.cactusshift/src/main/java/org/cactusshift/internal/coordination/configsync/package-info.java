/** Distribution of the accepted configuration to the nodes. */
package org.cactusshift.internal.coordination.configsync;
