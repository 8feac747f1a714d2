/** Usage counts: hand-over to the holders of the usage shards, sealed windows and reports. */
package org.cactusshift.internal.coordination.usage;
