package org.cactusshift.internal.transport.tls;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLServerSocket;
import javax.net.ssl.SSLSocket;
import org.cactusshift.config.TlsSettings;
import org.cactusshift.errors.Failure;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TlsContextTest {
    private static final long RELOAD_INTERVAL_MILLIS = 20;
    private static final int MAXIMUM_POLLS = 500;

    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);

    @AfterEach
    void stopScheduler() {
        scheduler.shutdownNow();
    }

    @Test
    void presentsAReloadedCertificateWithoutARestart(@TempDir Path directory) throws Exception {
        TlsSettings settings = new TlsSettings(
                directory.resolve("cert.pem").toString(),
                directory.resolve("key.pem").toString(),
                TlsFiles.file("site-ca.pem"));
        TlsFiles.copy("node-a", settings);
        TlsContext context =
                TlsContext.load(settings, scheduler, RELOAD_INTERVAL_MILLIS).get();
        SSLContext ssl = context.sslContext().get();
        try (SSLServerSocket server = (SSLServerSocket)
                ssl.getServerSocketFactory().createServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            scheduler.execute(() -> acceptForever(server));
            assertEquals("CN=node-a", presentedSubject(server.getLocalPort()));

            TlsFiles.copy("node-b", settings);

            assertEquals("CN=node-b", awaitSubject(server.getLocalPort(), "CN=node-b"));
        }
        context.close();
    }

    @Test
    void failsWithoutEffectWhenAFileIsMissing(@TempDir Path directory) {
        TlsSettings settings = new TlsSettings(
                directory.resolve("none").toString(), directory.resolve("none").toString(), "none");

        Failure failure = TlsContext.load(settings, scheduler).getLeft();

        assertEquals("load certificates", failure.step());
        assertEquals(Failure.Kind.NO_EFFECT, failure.kind());
    }

    /** Polls until the expected subject is presented or the polls are used up; returns the last subject. */
    private String awaitSubject(int port, String expectedSubject) throws Exception {
        String subject = "";
        for (int i = 0; i < MAXIMUM_POLLS && !subject.equals(expectedSubject); i++) {
            Thread.sleep(RELOAD_INTERVAL_MILLIS);
            subject = presentedSubject(port);
        }
        return subject;
    }

    private String presentedSubject(int port) throws Exception {
        TlsContext client =
                TlsContext.load(TlsFiles.settings("node-b"), scheduler).get();
        try (SSLSocket socket = (SSLSocket)
                client.sslContext().get().getSocketFactory().createSocket(InetAddress.getLoopbackAddress(), port)) {
            socket.startHandshake();
            X509Certificate certificate = (X509Certificate) socket.getSession().getPeerCertificates()[0];
            return certificate.getSubjectX500Principal().getName();
        } finally {
            client.close();
        }
    }

    private static void acceptForever(SSLServerSocket server) {
        while (!server.isClosed()) {
            try (SSLSocket socket = (SSLSocket) server.accept()) {
                socket.startHandshake();
            } catch (IOException e) {
                // The server socket was closed or the client disconnected; only this handshake fails.
            }
        }
    }
}
