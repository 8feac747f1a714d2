package org.cactusshift.internal.transport.relay;

import java.util.Map;
import java.util.TreeMap;

/** A structured log of the decisions of a node and the changes of its state. Writing never blocks. */
public interface EventLog {
    /**
     * Writes an entry.
     *
     * @param event what happened, as a dotted event name
     * @param fields the inputs of the decision and its outcome, written in the iteration order of the map
     */
    void write(String event, Map<String, Object> fields);

    /**
     * Starts an entry.
     *
     * @param event what happened, as a dotted event name
     * @return the entry, written by {@link Entry#write()}
     */
    default Entry event(String event) {
        return new Entry(this, event);
    }

    /** An entry under construction. */
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
         * @param value a number, a boolean, or an object with a short text form
         * @return this entry
         */
        public Entry with(String name, Object value) {
            fields.put(name, value);
            return this;
        }

        /** Writes the entry. */
        public void write() {
            log.write(event, fields);
        }
    }
}
