/** Usage counts: hand-over, sealed windows and reports. */
package org.cactusshift.internal.coordination.usage;
