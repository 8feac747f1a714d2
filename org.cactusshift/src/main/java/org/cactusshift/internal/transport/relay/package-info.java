/**
 * Passes requests to upstreams unchanged and answers back as they arrive.
 *
 * <p>All of a node's connections, timers and decisions of this path run on one event loop, so that its state needs no
 * locks and a node on a fraction of a core is not slowed by thread switches. What a site's protocol calls things is
 * behind {@link org.cactusshift.internal.transport.relay.RelayCodec}.
 */
package org.cactusshift.internal.transport.relay;
