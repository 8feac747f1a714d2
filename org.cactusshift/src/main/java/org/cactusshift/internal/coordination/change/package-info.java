/** Planned changes of engines: selects the engine that may change and determines when it is drained. */
package org.cactusshift.internal.coordination.change;
