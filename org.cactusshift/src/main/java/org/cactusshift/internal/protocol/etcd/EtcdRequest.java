package org.cactusshift.internal.protocol.etcd;

/**
 * A request to the etcd v3 JSON API.
 *
 * @param path the path of the URL, such as {@code /v3/kv/range}
 * @param body the JSON body in UTF-8
 */
public record EtcdRequest(String path, byte[] body) {}
