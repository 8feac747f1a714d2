/** Codec of the load reports and cache events that upstreams publish. */
package org.cactusshift.internal.protocol.engine;
