package org.cactusshift.internal.coordination.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.ServiceConfig;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.UpstreamId;

/** Factory methods for the inputs of dispatcher tests. */
public final class DispatchFixture {
    public static final long SEED = 20261203L;
    public static final ServiceId SERVICE = ServiceId.fromString("share-lm");

    private DispatchFixture() {}

    public static ServiceDispatcher dispatcher(ServiceConfig.Kind kind, int upstreams) {
        // At most 100 queued requests, and a retry budget ratio of 0.2.
        ServiceDispatcher dispatcher = ServiceDispatcher.create(
                new DispatcherOptions(IncarnationId.fromString("n1"), kind, 100, 0.2), new Random(SEED));
        dispatcher.onConfig(List.of(account("fonds", 1), account("crew", 1)), upstreams(upstreams), 0);
        return dispatcher;
    }

    public static AccountConfig account(String id, double weight) {
        return new AccountConfig(AccountId.fromString(id), weight, 1_000_000, 10_000, List.of(SERVICE), List.of());
    }

    public static List<UpstreamConfig> upstreams(int count) {
        List<UpstreamConfig> upstreams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            upstreams.add(new UpstreamConfig(
                    UpstreamId.fromString("engine-" + i),
                    SERVICE,
                    FailureDomainId.fromString("ostend-a"),
                    "127.0.0.1:" + (9000 + i),
                    UpstreamConfig.Role.MIXED,
                    false,
                    true,
                    false,
                    1.0,
                    64));
        }
        return upstreams;
    }

    /** Returns upstreams of which every second one is reclaimable. */
    public static List<UpstreamConfig> halfReclaimable(int count) {
        return upstreams(count).stream()
                .map(u -> new UpstreamConfig(
                        u.id(),
                        u.service(),
                        u.failureDomain(),
                        u.address(),
                        u.role(),
                        Integer.parseInt(u.id().value().substring("engine-".length())) % 2 == 1,
                        u.checksFencing(),
                        u.draining(),
                        u.pricePerHour(),
                        u.memoryPieces()))
                .toList();
    }

    public static DispatchRequest request(String id, String account, long deadlineMillis, boolean repeatable) {
        return new DispatchRequest(
                RequestId.fromString(id),
                AccountId.fromString(account),
                SERVICE,
                400,
                100,
                List.of(),
                deadlineMillis,
                repeatable,
                id.hashCode());
    }

    public static DispatchDecision.Dispatch dispatched(List<DispatchDecision> decisions) {
        return decisions.stream()
                .filter(DispatchDecision.Dispatch.class::isInstance)
                .map(DispatchDecision.Dispatch.class::cast)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no dispatch in " + decisions));
    }

    public static DispatchDecision.Refuse refused(List<DispatchDecision> decisions) {
        return decisions.stream()
                .filter(DispatchDecision.Refuse.class::isInstance)
                .map(DispatchDecision.Refuse.class::cast)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no refusal in " + decisions));
    }
}
