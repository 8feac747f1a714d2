package org.cactusshift.internal.coordination.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.cactusshift.internal.coordination.store.KeyChange;
import org.cactusshift.internal.coordination.store.StorePosition;

/**
 * Retains the changes of the last few reads of the store, so that a node which missed the message about one of them can
 * use the next message.
 *
 * <p>Not thread-safe.
 */
public final class RecentChanges {
    /** The number of reads whose changes are sent, so that a node can miss all but one of as many messages. */
    private static final int RETAINED_READS = 3;

    /** The maximum length of the values in a message, in bytes; it has to fit into a datagram in base64 encoding. */
    private static final int MAXIMUM_VALUE_BYTES = 16_384;

    private final ArrayDeque<Read> reads = new ArrayDeque<>();

    /** The position up to which the last read went. */
    private StorePosition lastPosition = StorePosition.START;

    private record Read(long fromRevision, List<KeyChange> changes, int valueBytes) {}

    private RecentChanges() {}

    /**
     * Returns a memory without reads.
     *
     * @return the memory
     */
    public static RecentChanges create() {
        return new RecentChanges();
    }

    /** Forgets the changes, as those that led to the state which was read anew are not known. */
    public void clear() {
        reads.clear();
    }

    /**
     * Records a read and returns what nodes are to be told of it. Earlier reads are forgotten if this one does not go
     * on where the last one ended, as changes in between came from another node.
     *
     * @param from the position after which changes were read
     * @param to the position up to which they were read, in the same era
     * @param changes the changes that matter, oldest first
     * @param ageMillis the time since the read was started, in milliseconds
     * @return the changes of the last reads; none, from the last revision on, if they are too long for a message
     */
    public SiteChanges onRead(StorePosition from, StorePosition to, List<KeyChange> changes, long ageMillis) {
        if (!from.equals(lastPosition)) {
            reads.clear();
        }
        lastPosition = to;
        int valueBytes = 0;
        for (KeyChange change : changes) {
            valueBytes += change.key().length();
            valueBytes += change.value().map(value -> value.value().length).orElse(0);
        }
        reads.addLast(new Read(from.revision(), changes, valueBytes));
        while (reads.size() > RETAINED_READS || totalBytes() > MAXIMUM_VALUE_BYTES) {
            reads.removeFirst();
        }
        List<KeyChange> recent = new ArrayList<>();
        reads.forEach(read -> recent.addAll(read.changes()));
        long firstRevision = reads.isEmpty() ? to.revision() : reads.getFirst().fromRevision();
        return new SiteChanges(to.era(), firstRevision, to.revision(), ageMillis, recent);
    }

    private int totalBytes() {
        return reads.stream().mapToInt(Read::valueBytes).sum();
    }
}
