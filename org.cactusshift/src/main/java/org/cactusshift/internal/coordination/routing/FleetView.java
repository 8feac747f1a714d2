package org.cactusshift.internal.coordination.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.UpstreamId;

/** The upstreams of one service as one node sees them. */
public final class FleetView {
    private static final int MAXIMUM_PREFIXES = 20_000;

    private final PrefixIndex prefixes = PrefixIndex.create(MAXIMUM_PREFIXES);
    private final Map<UpstreamId, UpstreamState> byId = new HashMap<>();
    private List<UpstreamState> upstreams = new ArrayList<>();

    private FleetView() {}

    /**
     * Returns a view without upstreams.
     *
     * @return the view
     */
    public static FleetView create() {
        return new FleetView();
    }

    /**
     * Installs the declared upstreams; what is known of those that stay is kept.
     *
     * @param configs the upstreams of the service
     */
    public void install(List<UpstreamConfig> configs) {
        List<UpstreamState> kept = new ArrayList<>(configs.size());
        for (UpstreamConfig config : configs) {
            UpstreamState state = byId.computeIfAbsent(config.id(), id -> UpstreamState.create(config));
            state.setConfig(config);
            state.setPosition((double) kept.size() / configs.size());
            kept.add(state);
        }
        upstreams = kept;
        byId.clear();
        upstreams.forEach(state -> byId.put(state.id(), state));
    }

    /**
     * Returns the upstreams in the order of the declaration.
     *
     * @return the upstreams; not to be changed
     */
    public List<UpstreamState> upstreams() {
        return upstreams;
    }

    /**
     * Returns an upstream.
     *
     * @param upstream its id
     * @return the upstream, or empty when it is not declared
     */
    public Optional<UpstreamState> find(UpstreamId upstream) {
        return Optional.ofNullable(byId.get(upstream));
    }

    /**
     * Returns the hints on cached prefixes.
     *
     * @return the hints
     */
    public PrefixIndex prefixes() {
        return prefixes;
    }
}
