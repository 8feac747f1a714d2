package org.cactusshift.internal.transport.relay;

import java.lang.reflect.Proxy;
import java.util.Optional;

/**
 * Handles SIGHUP, which would otherwise end a Java process. It must be installed first in a program, as the signal may
 * arrive while the process starts.
 *
 * <p>The JDK offers signal handling in {@code sun.misc} only, which is hidden from a compilation with {@code
 * --release}; hence the reflection.
 */
public final class HangupSignalHandler {
    private static final String NAME = "HUP";

    private Optional<String> failure = Optional.empty();
    private Optional<Runnable> listener = Optional.empty();
    private boolean signalPending;

    private HangupSignalHandler() {}

    /**
     * Installs the handler in this process.
     *
     * @return the handler, without a listener
     */
    public static HangupSignalHandler install() {
        HangupSignalHandler installed = new HangupSignalHandler();
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object receiver =
                    Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                        installed.onReceived();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(NAME), receiver);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            installed.failure = Optional.of(String.valueOf(e.getMessage()));
        }
        return installed;
    }

    /**
     * Returns why the handler could not be installed.
     *
     * @return the reason, empty when it was installed
     */
    public Optional<String> installationFailure() {
        return failure;
    }

    private synchronized void onReceived() {
        listener.ifPresentOrElse(Runnable::run, () -> signalPending = true);
    }

    /**
     * Sets the listener; it is called at once when a signal has already been received.
     *
     * @param newListener called for each signal, on a thread of the JDK; once for all signals received before, on the
     *     calling thread
     */
    public synchronized void setListener(Runnable newListener) {
        listener = Optional.of(newListener);
        if (signalPending) {
            signalPending = false;
            newListener.run();
        }
    }
}
