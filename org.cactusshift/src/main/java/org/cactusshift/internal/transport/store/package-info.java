/** Client of the key-value store over HTTP. */
package org.cactusshift.internal.transport.store;
