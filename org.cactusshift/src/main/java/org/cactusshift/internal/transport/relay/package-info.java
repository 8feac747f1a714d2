/**
 * A relay node: serves callers, relays their requests to upstreams with only hop-by-hop headers and the headers of the
 * platform's protocol changed, passes responses back as they arrive, and performs the duties that the node holds.
 *
 * <p>All connections, timers and decisions of a relay node run on one event loop, so that its state needs no locks and
 * a node on a fraction of a core is not slowed by thread switches. The names and formats of the platform's protocol are
 * hidden behind {@link org.cactusshift.internal.transport.relay.ServingNode.Protocol}.
 */
package org.cactusshift.internal.transport.relay;
