package org.cactusshift.internal.transport.relay;

import java.util.Optional;
import java.util.OptionalLong;
import org.cactusshift.id.SoftwareVersion;

/** How far the stream of a request has got, and at which upstreams it may go on. */
final class StreamProgress {
    /** The id of the last event that the caller has, empty when there is none. */
    private OptionalLong lastEventId;

    /** The version that began the stream, empty while none has or when it is not known. */
    private Optional<SoftwareVersion> version = Optional.empty();

    private boolean begun;

    private StreamProgress(OptionalLong lastEventId) {
        this.lastEventId = lastEventId;
        this.begun = lastEventId.isPresent();
    }

    /** Returns the progress of a stream that the caller takes up after an event, or of a new one. */
    static StreamProgress after(OptionalLong lastEventId) {
        return new StreamProgress(lastEventId);
    }

    OptionalLong lastEventId() {
        return lastEventId;
    }

    Optional<SoftwareVersion> version() {
        return version;
    }

    /** Returns whether the stream was begun by a version that is not known, so that it must not go on anywhere. */
    boolean isOfUnknownVersion() {
        return begun && version.isEmpty();
    }

    /** Records the version of a stream that has begun, empty when it is not known. */
    void onBegun(Optional<SoftwareVersion> beganBy) {
        begun = true;
        version = beganBy;
    }

    /** Records an event; returns whether the caller does not have it yet. */
    boolean isNew(OptionalLong eventId) {
        if (eventId.isEmpty()) {
            return true;
        }
        if (lastEventId.isPresent() && eventId.getAsLong() <= lastEventId.getAsLong()) {
            return false;
        }
        lastEventId = eventId;
        return true;
    }
}
