/** Codec of the subset of the etcd v3 JSON API that is used here. */
package org.cactusshift.internal.protocol.etcd;
