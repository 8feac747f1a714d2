/** Codec of the load reports of upstreams and the cache events of engines. */
package org.cactusshift.internal.protocol.engine;
