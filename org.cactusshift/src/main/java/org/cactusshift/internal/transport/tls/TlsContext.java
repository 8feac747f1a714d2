package org.cactusshift.internal.transport.tls;

import io.grpc.ChannelCredentials;
import io.grpc.ServerCredentials;
import io.grpc.TlsChannelCredentials;
import io.grpc.TlsServerCredentials;
import io.grpc.util.AdvancedTlsX509KeyManager;
import io.grpc.util.AdvancedTlsX509TrustManager;
import io.vavr.control.Either;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManager;
import org.cactusshift.config.TlsSettings;
import org.cactusshift.errors.Failure;

/**
 * The TLS certificates and trust settings of a node.
 *
 * <p>The files are checked for changes periodically. New connections use the reloaded certificates, open connections
 * continue with the old ones. Between nodes both sides must present a certificate that chains to the trust file.
 */
public final class TlsContext implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(TlsContext.class.getName());
    private static final long RELOAD_INTERVAL_MILLIS = 5_000;
    private static final String PROTOCOL = "TLSv1.3";

    private final TlsSettings settings;
    private final AdvancedTlsX509KeyManager keyManager;
    private final AdvancedTlsX509TrustManager trustManager;
    private ScheduledFuture<?> reloadTask;
    private Map<String, Long> loadedModificationEpochMillisByFile;

    private TlsContext(
            TlsSettings settings, AdvancedTlsX509KeyManager keyManager, AdvancedTlsX509TrustManager trustManager) {
        this.settings = settings;
        this.keyManager = keyManager;
        this.trustManager = trustManager;
    }

    /**
     * Reads the files and starts the periodic reload.
     *
     * @param settings the paths of the files
     * @param scheduler runs the reload
     * @return the context, or the failure if a file can't be read or parsed
     */
    public static Either<Failure, TlsContext> load(TlsSettings settings, ScheduledExecutorService scheduler) {
        return load(settings, scheduler, RELOAD_INTERVAL_MILLIS);
    }

    static Either<Failure, TlsContext> load(
            TlsSettings settings, ScheduledExecutorService scheduler, long reloadIntervalMillis) {
        try {
            AdvancedTlsX509TrustManager trust = AdvancedTlsX509TrustManager.newBuilder()
                    // Verifies the certificate chain, but no host names.
                    .setVerification(AdvancedTlsX509TrustManager.Verification.CERTIFICATE_ONLY_VERIFICATION)
                    .build();
            TlsContext context = new TlsContext(settings, new AdvancedTlsX509KeyManager(), trust);
            context.readFiles();
            context.reloadTask = scheduler.scheduleWithFixedDelay(
                    context::reloadChangedFiles, reloadIntervalMillis, reloadIntervalMillis, TimeUnit.MILLISECONDS);
            return Either.right(context);
        } catch (IOException | GeneralSecurityException e) {
            return Either.left(Failure.noEffect("load certificates", "local", e.toString()));
        }
    }

    private void reloadChangedFiles() {
        try {
            if (!readModificationEpochMillis().equals(loadedModificationEpochMillisByFile)) {
                readFiles();
                LOG.log(System.Logger.Level.INFO, "certificates reloaded from {0}", settings.certificateFile());
            }
        } catch (IOException | GeneralSecurityException e) {
            // The files may be partially written: the next period retries. Until then the old certificates stay in use,
            // except those of files that were read before the failure.
            LOG.log(System.Logger.Level.WARNING, "could not reload every certificate file, retrying: " + e);
        }
    }

    private void readFiles() throws IOException, GeneralSecurityException {
        Map<String, Long> modificationEpochMillisByFile = readModificationEpochMillis();
        keyManager.updateIdentityCredentials(new File(settings.certificateFile()), new File(settings.privateKeyFile()));
        trustManager.updateTrustCredentials(new File(settings.trustFile()));
        loadedModificationEpochMillisByFile = modificationEpochMillisByFile;
    }

    private Map<String, Long> readModificationEpochMillis() throws IOException {
        Map<String, Long> modificationEpochMillisByFile = new HashMap<>();
        for (String file : List.of(settings.certificateFile(), settings.privateKeyFile(), settings.trustFile())) {
            modificationEpochMillisByFile.put(
                    file, Files.getLastModifiedTime(Path.of(file)).toMillis());
        }
        return modificationEpochMillisByFile;
    }

    /**
     * Returns gRPC credentials for a server that requires a client certificate.
     *
     * @return the credentials
     */
    public ServerCredentials serverCredentials() {
        return TlsServerCredentials.newBuilder()
                .keyManager(keyManager)
                .trustManager(trustManager)
                .clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
                .build();
    }

    /**
     * Returns gRPC credentials for a client that presents its certificate.
     *
     * @return the credentials
     */
    public ChannelCredentials clientCredentials() {
        return TlsChannelCredentials.newBuilder()
                .keyManager(keyManager)
                .trustManager(trustManager)
                .build();
    }

    /**
     * Returns an SSL context for HTTP listeners. Each handshake uses the certificates loaded last.
     *
     * @return the context, or the failure if the Java runtime lacks the protocol
     */
    public Either<Failure, SSLContext> sslContext() {
        try {
            SSLContext context = SSLContext.getInstance(PROTOCOL);
            context.init(new KeyManager[] {keyManager}, new TrustManager[] {trustManager}, null);
            return Either.right(context);
        } catch (GeneralSecurityException e) {
            return Either.left(Failure.noEffect("create TLS context", "local", e.toString()));
        }
    }

    @Override
    public void close() {
        reloadTask.cancel(false);
    }
}
