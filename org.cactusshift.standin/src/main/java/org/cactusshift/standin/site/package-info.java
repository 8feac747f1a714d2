/**
 * Stand-ins for tests of the node of the module {@code org.cactusshift.platform}: its metadata store, with the subset
 * of the interface that tests need, upstreams with scripted responses and callers over plain sockets.
 */
package org.cactusshift.standin.site;
