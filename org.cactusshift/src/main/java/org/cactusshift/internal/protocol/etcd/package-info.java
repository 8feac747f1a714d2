/** The JSON form of the etcd v3 interface, in the subset that the product uses. */
package org.cactusshift.internal.protocol.etcd;
