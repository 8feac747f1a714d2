/** Codec of the subset of the etcd v3 JSON API that the client of the key-value store uses. */
package org.cactusshift.internal.protocol.etcd;
