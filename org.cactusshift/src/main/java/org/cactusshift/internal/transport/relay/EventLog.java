package org.cactusshift.internal.transport.relay;

import java.util.Map;
import java.util.TreeMap;

/** Takes one line for each decision and each change of what a node believes; never blocks. */
public interface EventLog {
    /**
     * Writes a line.
     *
     * @param event what happened, as words with dots
     * @param fields what decided it and the outcome
     */
    void write(String event, Map<String, Object> fields);

    /**
     * Starts a line.
     *
     * @param event what happened, as words with dots
     * @return the line, written by {@link Line#write()}
     */
    default Entry event(String event) {
        return new Entry(this, event);
    }

    /** A line under construction. */
    final class Entry {
        private final EventLog log;
        private final String event;
        private final Map<String, Object> fields = new TreeMap<>();

        private Entry(EventLog log, String event) {
            this.log = log;
            this.event = event;
        }

        /**
         * Adds a field.
         *
         * @param name the name
         * @param value a number, a boolean, or anything with a short text
         * @return this line
         */
        public Entry with(String name, Object value) {
            fields.put(name, value);
            return this;
        }

        /** Writes the line. */
        public void write() {
            log.write(event, fields);
        }
    }
}
