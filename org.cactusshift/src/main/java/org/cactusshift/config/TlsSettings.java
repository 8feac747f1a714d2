package org.cactusshift.config;

/**
 * The TLS certificate files of a node.
 *
 * @param certificateFile the certificate chain, in PEM
 * @param privateKeyFile the private key, in PEM
 * @param trustFile the trusted certificates to which the certificates of peers must chain, in PEM
 */
public record TlsSettings(String certificateFile, String privateKeyFile, String trustFile) {}
