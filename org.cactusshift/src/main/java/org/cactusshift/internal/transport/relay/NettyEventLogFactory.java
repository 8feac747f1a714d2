package org.cactusshift.internal.transport.relay;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.MessageFormatter;

/**
 * Writes the warnings and errors of Netty to the event log of the node.
 *
 * <p>Netty's own binding to the logging of the JDK initializes that, which a node that is started on a part of a core
 * can do without.
 */
public final class NettyEventLogFactory extends InternalLoggerFactory {
    private final EventLog log;

    private NettyEventLogFactory(EventLog log) {
        this.log = log;
    }

    /**
     * Makes Netty write its warnings and errors to a log. It must be called before Netty is used.
     *
     * @param log the event log
     */
    public static void install(EventLog log) {
        InternalLoggerFactory.setDefaultFactory(new NettyEventLogFactory(log));
    }

    @Override
    protected InternalLogger newInstance(String name) {
        return new Logger(name, log);
    }

    private static final class Logger extends AbstractInternalLogger {
        private static final long serialVersionUID = 1L;

        private final transient EventLog log;

        private Logger(String name, EventLog log) {
            super(name);
            this.log = log;
        }

        private void write(String event, String message, Throwable cause) {
            EventLog.Entry entry = log.event(event).with("logger", name()).with("message", message);
            if (cause != null) {
                entry.with("cause", cause);
            }
            entry.write();
        }

        private void format(String event, String format, Object... arguments) {
            var text = MessageFormatter.arrayFormat(format, arguments);
            write(event, text.getMessage(), text.getThrowable());
        }

        @Override
        public boolean isTraceEnabled() {
            return false;
        }

        @Override
        public void trace(String message) {}

        @Override
        public void trace(String format, Object argument) {}

        @Override
        public void trace(String format, Object first, Object second) {}

        @Override
        public void trace(String format, Object... arguments) {}

        @Override
        public void trace(String message, Throwable cause) {}

        @Override
        public boolean isDebugEnabled() {
            return false;
        }

        @Override
        public void debug(String message) {}

        @Override
        public void debug(String format, Object argument) {}

        @Override
        public void debug(String format, Object first, Object second) {}

        @Override
        public void debug(String format, Object... arguments) {}

        @Override
        public void debug(String message, Throwable cause) {}

        @Override
        public boolean isInfoEnabled() {
            return false;
        }

        @Override
        public void info(String message) {}

        @Override
        public void info(String format, Object argument) {}

        @Override
        public void info(String format, Object first, Object second) {}

        @Override
        public void info(String format, Object... arguments) {}

        @Override
        public void info(String message, Throwable cause) {}

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public void warn(String message) {
            write("netty.warning", message, null);
        }

        @Override
        public void warn(String format, Object argument) {
            format("netty.warning", format, argument);
        }

        @Override
        public void warn(String format, Object... arguments) {
            format("netty.warning", format, arguments);
        }

        @Override
        public void warn(String format, Object first, Object second) {
            format("netty.warning", format, first, second);
        }

        @Override
        public void warn(String message, Throwable cause) {
            write("netty.warning", message, cause);
        }

        @Override
        public boolean isErrorEnabled() {
            return true;
        }

        @Override
        public void error(String message) {
            write("netty.error", message, null);
        }

        @Override
        public void error(String format, Object argument) {
            format("netty.error", format, argument);
        }

        @Override
        public void error(String format, Object first, Object second) {
            format("netty.error", format, first, second);
        }

        @Override
        public void error(String format, Object... arguments) {
            format("netty.error", format, arguments);
        }

        @Override
        public void error(String message, Throwable cause) {
            write("netty.error", message, cause);
        }
    }
}
