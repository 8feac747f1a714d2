package org.cactusshift.internal.protocol.etcd;

/**
 * One request to an etcd v3 JSON gateway.
 *
 * @param path the path of the call
 * @param body the JSON body in UTF-8
 */
public record EtcdRequest(String path, byte[] body) {}
