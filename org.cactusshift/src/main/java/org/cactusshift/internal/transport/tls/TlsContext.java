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
import java.security.GeneralSecurityException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManager;
import org.cactusshift.config.TlsSettings;
import org.cactusshift.errors.Failure;

/**
 * The certificates of a process.
 *
 * <p>The files are read again periodically; connections opened afterwards use the new certificates, open connections
 * keep theirs. Between nodes both sides must present a certificate that chains to the trust file.
 */
public final class TlsContext implements AutoCloseable {
    private static final long RELOAD_PERIOD_MILLIS = 5_000;
    private static final String PROTOCOL = "TLSv1.3";

    private final AdvancedTlsX509KeyManager keyManager;
    private final AdvancedTlsX509TrustManager trustManager;
    private final AutoCloseable keyReload;
    private final AutoCloseable trustReload;

    private TlsContext(
            AdvancedTlsX509KeyManager keyManager,
            AdvancedTlsX509TrustManager trustManager,
            AutoCloseable keyReload,
            AutoCloseable trustReload) {
        this.keyManager = keyManager;
        this.trustManager = trustManager;
        this.keyReload = keyReload;
        this.trustReload = trustReload;
    }

    /**
     * Reads the files and starts their periodic reload.
     *
     * @param settings names the files
     * @param scheduler runs the reload
     * @return the context, or the failure when a file can't be read
     */
    public static Either<Failure, TlsContext> load(TlsSettings settings, ScheduledExecutorService scheduler) {
        return load(settings, scheduler, RELOAD_PERIOD_MILLIS);
    }

    static Either<Failure, TlsContext> load(
            TlsSettings settings, ScheduledExecutorService scheduler, long reloadPeriodMillis) {
        try {
            AdvancedTlsX509KeyManager keys = new AdvancedTlsX509KeyManager();
            AutoCloseable keyReload = keys.updateIdentityCredentials(
                    new File(settings.certificateFile()),
                    new File(settings.privateKeyFile()),
                    reloadPeriodMillis,
                    TimeUnit.MILLISECONDS,
                    scheduler)::close;
            AdvancedTlsX509TrustManager trust = AdvancedTlsX509TrustManager.newBuilder()
                    .setVerification(AdvancedTlsX509TrustManager.Verification.CERTIFICATE_ONLY_VERIFICATION)
                    .build();
            AutoCloseable trustReload = trust.updateTrustCredentials(
                    new File(settings.trustFile()), reloadPeriodMillis, TimeUnit.MILLISECONDS, scheduler)::close;
            return Either.right(new TlsContext(keys, trust, keyReload, trustReload));
        } catch (IOException | GeneralSecurityException e) {
            return Either.left(Failure.noEffect("load certificates", "local", e.toString()));
        }
    }

    /**
     * Returns the credentials of a server that demands a client certificate.
     *
     * @return the credentials
     */
    public ServerCredentials mutualServerCredentials() {
        return TlsServerCredentials.newBuilder()
                .keyManager(keyManager)
                .trustManager(trustManager)
                .clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
                .build();
    }

    /**
     * Returns the credentials of a client that presents its certificate.
     *
     * @return the credentials
     */
    public ChannelCredentials channelCredentials() {
        return TlsChannelCredentials.newBuilder()
                .keyManager(keyManager)
                .trustManager(trustManager)
                .build();
    }

    /**
     * Returns a context for HTTP listeners; it follows the reloaded certificates.
     *
     * @return the context, or the failure when the platform lacks the protocol
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
    public void close() throws Exception {
        keyReload.close();
        trustReload.close();
    }
}
