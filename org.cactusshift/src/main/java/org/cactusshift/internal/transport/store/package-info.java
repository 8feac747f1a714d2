/** The key-value service over HTTP. */
package org.cactusshift.internal.transport.store;
