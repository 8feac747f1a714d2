/** Planned changes of engines: which engine may change, and when nothing runs on it any more. */
package org.cactusshift.internal.coordination.change;
