package org.cactusshift.internal.transport.relay;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusshift.id.ServiceId;
import org.cactusshift.internal.coordination.serving.CallerLimits;
import org.cactusshift.internal.coordination.serving.RouteTable;
import org.cactusshift.internal.coordination.serving.ServedService;
import org.cactusshift.internal.coordination.serving.ServingConfig;
import org.cactusshift.internal.coordination.serving.UpstreamEntry;

/**
 * Decodes any value to the same configuration, with the services that a test declares, and rejects all upstream
 * entries; tests add upstreams to the directory themselves.
 */
final class FakeDecoder implements StoreValueDecoder {
    private final Map<ServiceId, ServedService> services;

    private FakeDecoder(Map<ServiceId, ServedService> services) {
        this.services = services;
    }

    static FakeDecoder of(ServedService... services) {
        Map<ServiceId, ServedService> byId = new HashMap<>();
        for (ServedService service : services) {
            byId.put(service.id(), service);
        }
        return new FakeDecoder(byId);
    }

    @Override
    public String configKey() {
        return "config";
    }

    @Override
    public String upstreamPrefix() {
        return "upstream/";
    }

    @Override
    public Either<String, ServingConfig> decodeConfig(byte[] value) {
        return Either.right(new ServingConfig(
                1, RouteTable.of(List.of()), services, CallerLimits.DEFAULT, Optional.empty(), Map.of()));
    }

    @Override
    public Either<String, UpstreamEntry> decodeUpstream(String id, byte[] value) {
        return Either.left("none");
    }
}
