/** TLS certificates of a node, reloaded without a restart. */
package org.cactusshift.internal.transport.tls;
