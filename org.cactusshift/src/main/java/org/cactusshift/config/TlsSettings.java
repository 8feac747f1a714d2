package org.cactusshift.config;

/**
 * Files with the certificates of a process.
 *
 * @param certificateFile the certificate chain, PEM
 * @param privateKeyFile the private key, PEM
 * @param trustFile the certificates that peers must chain to, PEM
 */
public record TlsSettings(String certificateFile, String privateKeyFile, String trustFile) {}
