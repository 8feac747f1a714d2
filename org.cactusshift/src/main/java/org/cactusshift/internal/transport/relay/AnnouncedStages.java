package org.cactusshift.internal.transport.relay;

import org.cactusshift.internal.coordination.serving.StageChanges;
import org.cactusshift.internal.coordination.serving.UpstreamDirectory;
import org.cactusshift.internal.coordination.store.VersionedValue;

/** Passes the changes of stage that the store announces to the directory of upstreams. */
final class AnnouncedStages {
    private final SiteStateFollower follower;
    private final UpstreamDirectory directory;
    private final String key;
    private StageChanges changes = StageChanges.NONE;

    /** The mod revision of the value that was decoded last, 0 when there is none. */
    private long decodedRevision;

    /** Whether the directory knows of changes. */
    private boolean hasAnnounced;

    private AnnouncedStages(SiteStateFollower follower, UpstreamDirectory directory, String key) {
        this.follower = follower;
        this.directory = directory;
        this.key = key;
    }

    static AnnouncedStages create(SiteStateFollower follower, UpstreamDirectory directory, String key) {
        return new AnnouncedStages(follower, directory, key);
    }

    /** Applies the announcement that was read last; also to upstreams that were listed since. */
    void apply(long nowMillis) {
        VersionedValue value = follower.nodeValueByKey().get(key);
        long revision = value == null ? 0 : value.modRevision();
        if (revision != decodedRevision) {
            decodedRevision = revision;
            changes = value == null
                    ? StageChanges.NONE
                    : StageChangesCodec.decode(value.value()).orElse(StageChanges.NONE);
        }
        boolean isEmpty = changes.stageByEngine().isEmpty();
        if (!isEmpty || hasAnnounced) {
            directory.announceStages(changes, nowMillis);
        }
        hasAnnounced = !isEmpty;
    }
}
