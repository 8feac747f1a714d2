package org.cactusshift.pgm.bench;

import java.util.Optional;
import org.cactusshift.internal.coordination.lease.Authority;
import org.cactusshift.internal.coordination.lease.AuthoritySource;
import org.cactusshift.internal.coordination.lease.DutyDirectory;
import org.cactusshift.internal.coordination.lease.DutyHolder;
import org.cactusshift.internal.coordination.lease.DutyId;

/**
 * An authority source and duty directory in which one node holds every duty permanently.
 *
 * @param holder the node that holds every duty
 * @param fencingNumber the fencing number of its leases
 */
record FixedHolder(DutyHolder holder, long fencingNumber) implements AuthoritySource, DutyDirectory {
    @Override
    public Optional<Authority> authority(DutyId duty, long nowMillis) {
        return Optional.of(new Authority(duty, fencingNumber, Long.MAX_VALUE));
    }

    @Override
    public Optional<DutyHolder> holder(DutyId duty) {
        return Optional.of(holder);
    }
}
