package org.cactusshift.internal.transport.relay;

import java.lang.reflect.Proxy;
import java.util.Optional;

/**
 * Receives SIGHUP, which would end a Java process otherwise. It is installed before anything else, as a signal may come
 * while the process starts.
 *
 * <p>The JDK offers signals in {@code sun.misc} only, which a compilation for a release does not see; hence the
 * reflection.
 */
public final class HangupSignalHandler {
    private static final String NAME = "HUP";

    private Optional<String> failure = Optional.empty();
    private Optional<Runnable> listener = Optional.empty();
    private boolean missed;

    private HangupSignalHandler() {}

    /**
     * Takes over the signal for this process.
     *
     * @return the signal, without a listener
     */
    public static HangupSignalHandler install() {
        HangupSignalHandler hangup = new HangupSignalHandler();
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object receiver =
                    Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                        hangup.onReceived();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(NAME), receiver);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            hangup.failure = Optional.of(String.valueOf(e.getMessage()));
        }
        return hangup;
    }

    /**
     * Returns why the signal cannot be received.
     *
     * @return the reason, empty when it can
     */
    public Optional<String> failure() {
        return failure;
    }

    private synchronized void onReceived() {
        listener.ifPresentOrElse(Runnable::run, () -> missed = true);
    }

    /**
     * Sets the listener; it is called at once when the signal has come already.
     *
     * @param newListener called at each signal, on a thread of the JDK's
     */
    public synchronized void setListener(Runnable newListener) {
        listener = Optional.of(newListener);
        if (missed) {
            missed = false;
            newListener.run();
        }
    }
}
