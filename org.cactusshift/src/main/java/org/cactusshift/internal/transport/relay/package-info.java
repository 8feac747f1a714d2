/**
 * Relays requests to upstreams unchanged, and responses back as they arrive.
 *
 * <p>All connections, timers and decisions of a node on this path run on one event loop, so that its state needs no
 * locks and a node on a fraction of a core is not slowed by thread switches. The names and formats of a site's protocol
 * are hidden behind {@link org.cactusshift.internal.transport.relay.RelayCodec}.
 */
package org.cactusshift.internal.transport.relay;
