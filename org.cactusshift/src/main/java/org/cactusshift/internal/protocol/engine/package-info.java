/** Codec of what engines and plain services tell about themselves. */
package org.cactusshift.internal.protocol.engine;
