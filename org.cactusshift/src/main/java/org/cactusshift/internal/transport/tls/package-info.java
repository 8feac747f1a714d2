/** TLS certificates of a process, reloaded without a restart. */
package org.cactusshift.internal.transport.tls;
