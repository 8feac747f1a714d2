package org.cactusshift.internal.coordination.claim;

import java.util.Optional;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.lease.AuthoritySource;
import org.cactusshift.internal.coordination.lease.DutyDirectory;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.DutyId;

/** The directory and the authorities of a site in which one node holds every shard. */
final class FixedHolder implements AuthoritySource, DutyDirectory {
    private final DutyHolder holder;
    /** Whether the node under test is the holder. */
    private final boolean isSelf;

    private final long fencingNumber;

    FixedHolder(DutyHolder holder, boolean isSelf, long fencingNumber) {
        this.holder = holder;
        this.isSelf = isSelf;
        this.fencingNumber = fencingNumber;
    }

    static DutyHolder node(String name) {
        return new DutyHolder(InstanceId.fromString(name), IncarnationId.fromString(name + "1"), "127.0.0.1:1", 0);
    }

    @Override
    public Optional<Authority> authority(DutyId duty, long nowMillis) {
        return isSelf ? Optional.of(new Authority(duty, fencingNumber, Long.MAX_VALUE)) : Optional.empty();
    }

    @Override
    public Optional<DutyHolder> holder(DutyId duty) {
        return Optional.of(holder);
    }
}
