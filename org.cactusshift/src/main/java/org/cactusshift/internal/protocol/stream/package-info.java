/** Streams of server-sent events that are passed through unchanged. */
package org.cactusshift.internal.protocol.stream;
