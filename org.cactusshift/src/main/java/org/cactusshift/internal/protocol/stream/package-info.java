/** Splits streams of server-sent events that are forwarded unchanged. */
package org.cactusshift.internal.protocol.stream;
