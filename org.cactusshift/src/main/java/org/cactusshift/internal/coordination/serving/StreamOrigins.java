package org.cactusshift.internal.coordination.serving;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Optional;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.SoftwareVersion;

/**
 * Remembers which software version began a stream, so that it goes on at that version when the caller takes it up again
 * at another node.
 *
 * <p>The node that begins a stream tells two other nodes, which are chosen by a hash of the request, so that any node
 * knows whom to ask; see {@link StreamOriginHolders}.
 *
 * <p>Not thread-safe.
 */
public final class StreamOrigins {
    /** How long an origin is kept; longer than callers retry. */
    public static final long RETENTION_MILLIS = 30_000;

    /** The maximum number of origins; the oldest are dropped. */
    private static final int MAXIMUM_ORIGINS = 65_536;

    /** In the order of their recording. */
    private final LinkedHashMap<RequestId, Origin> originByRequest = new LinkedHashMap<>();

    private record Origin(SoftwareVersion version, long recordedAtMillis) {}

    private StreamOrigins() {}

    /**
     * Returns a memory without origins.
     *
     * @return the memory
     */
    public static StreamOrigins create() {
        return new StreamOrigins();
    }

    /**
     * Records the origin of a stream; the first one that is recorded holds.
     *
     * @param request the request whose response brought the first event
     * @param version the version that began the stream
     * @param nowMillis the current time
     */
    public void record(RequestId request, SoftwareVersion version, long nowMillis) {
        originByRequest.putIfAbsent(request, new Origin(version, nowMillis));
        if (originByRequest.size() > MAXIMUM_ORIGINS) {
            originByRequest.remove(originByRequest.keySet().iterator().next());
        }
    }

    /**
     * Returns the version that began a stream.
     *
     * @param request the request whose response brought the first event
     * @return the version, empty when this node does not know it
     */
    public Optional<SoftwareVersion> find(RequestId request) {
        return Optional.ofNullable(originByRequest.get(request)).map(Origin::version);
    }

    /**
     * Removes origins that are too old for the streams to be taken up again.
     *
     * @param nowMillis the current time
     */
    public void expire(long nowMillis) {
        Iterator<Origin> oldest = originByRequest.values().iterator();
        while (oldest.hasNext() && nowMillis - oldest.next().recordedAtMillis() > RETENTION_MILLIS) {
            oldest.remove();
        }
    }
}
