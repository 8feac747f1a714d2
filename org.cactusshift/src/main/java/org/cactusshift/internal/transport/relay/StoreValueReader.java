package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cactusshift.internal.coordination.serving.ServingConfig;
import org.cactusshift.internal.coordination.serving.UpstreamEntry;
import org.cactusshift.internal.coordination.store.VersionedValue;

/** Reads values of the store; one that is malformed is logged, once for each key. */
final class StoreValueReader {
    private final StoreValueDecoder decoder;
    private final EventLog log;
    private final Set<String> malformedKeys = new HashSet<>();

    StoreValueReader(StoreValueDecoder decoder, EventLog log) {
        this.decoder = decoder;
        this.log = log;
    }

    /** Returns the entry of an upstream, empty when it is malformed. */
    Optional<UpstreamEntry> upstream(VersionedValue value) {
        String id = value.key().substring(decoder.upstreamPrefix().length());
        return valid(value.key(), decoder.decodeUpstream(id, value.value()));
    }

    /** Returns a configuration, empty when it is malformed. */
    Optional<ServingConfig> config(VersionedValue value) {
        return valid(value.key(), decoder.decodeConfig(value.value()));
    }

    private <T> Optional<T> valid(String key, Either<String, T> read) {
        if (read.isLeft()) {
            logMalformed(key, read.getLeft());
            return Optional.empty();
        }
        return Optional.of(read.get());
    }

    void logMalformed(String key, String reason) {
        if (malformedKeys.add(key)) {
            log.event("store.malformed").with("key", key).with("reason", reason).write();
        }
    }
}
