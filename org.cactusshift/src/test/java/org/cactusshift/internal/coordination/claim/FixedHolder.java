package org.cactusshift.internal.coordination.claim;

import java.util.Optional;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.lease.AuthoritySource;
import org.cactusshift.internal.coordination.lease.DutyDirectory;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.DutyId;

/** A directory in which one node owns every shard. */
final class FixedHolder implements AuthoritySource, DutyDirectory {
    private final DutyHolder holder;
    private final boolean self;
    private final long fencingNumber;

    FixedHolder(DutyHolder holder, boolean self, long fencingNumber) {
        this.holder = holder;
        this.self = self;
        this.fencingNumber = fencingNumber;
    }

    static DutyHolder node(String name) {
        return new DutyHolder(InstanceId.fromString(name), IncarnationId.fromString(name + "1"), "127.0.0.1:1", 0);
    }

    @Override
    public Optional<Authority> authority(DutyId duty, long nowMillis) {
        return self ? Optional.of(new Authority(duty, fencingNumber, Long.MAX_VALUE)) : Optional.empty();
    }

    @Override
    public Optional<DutyHolder> holder(DutyId duty) {
        return Optional.of(holder);
    }
}
