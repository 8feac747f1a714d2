package org.cactusshift.internal.transport.tls;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.cactusshift.config.TlsSettings;

/**
 * Test certificates: {@code node-a} and {@code node-b} are signed by the certificate authority of the site,
 * {@code stranger} by another one.
 */
public final class TlsFiles {
    private TlsFiles() {}

    /** Returns the settings of an identity that has a key and a certificate among the test resources. */
    public static TlsSettings settings(String identity) {
        return new TlsSettings(file(identity + ".pem"), file(identity + ".key"), file("site-ca.pem"));
    }

    /** Copies the key, then the certificate of an identity onto the paths of the settings. */
    public static void copy(String identity, TlsSettings target) {
        try {
            Files.copy(
                    Path.of(file(identity + ".key")),
                    Path.of(target.privateKeyFile()),
                    StandardCopyOption.REPLACE_EXISTING);
            Files.copy(
                    Path.of(file(identity + ".pem")),
                    Path.of(target.certificateFile()),
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the path of a file of the test resources. */
    public static String file(String name) {
        try {
            return Path.of(TlsFiles.class.getResource("/tls/" + name).toURI()).toString();
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
