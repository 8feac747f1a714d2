package org.cactusshift.internal.protocol.etcd;

/**
 * A request to the etcd v3 JSON API.
 *
 * @param path the path of the call
 * @param body the JSON body in UTF-8
 */
public record EtcdRequest(String path, byte[] body) {}
