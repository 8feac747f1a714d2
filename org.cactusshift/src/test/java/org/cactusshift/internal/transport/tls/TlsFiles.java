package org.cactusshift.internal.transport.tls;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.cactusshift.config.TlsSettings;

/** Test certificates: {@code node-a} and {@code node-b} of the site's authority, {@code stranger} of another. */
public final class TlsFiles {
    private TlsFiles() {}

    public static TlsSettings settings(String holder) {
        return new TlsSettings(file(holder + ".pem"), file(holder + ".key"), file("site-ca.pem"));
    }

    public static void copy(String holder, TlsSettings target) {
        try {
            Files.copy(
                    Path.of(file(holder + ".key")),
                    Path.of(target.privateKeyFile()),
                    StandardCopyOption.REPLACE_EXISTING);
            Files.copy(
                    Path.of(file(holder + ".pem")),
                    Path.of(target.certificateFile()),
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public static String file(String name) {
        try {
            return Path.of(TlsFiles.class.getResource("/tls/" + name).toURI()).toString();
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
