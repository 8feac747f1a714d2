package org.cactusshift.internal.coordination.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.UpstreamId;

/** The state of the upstreams of one service, as known to one node. Not thread-safe. */
public final class FleetView {
    /** The number of prefixes in the index of a service beyond which the least recently used one is evicted. */
    private static final int MAXIMUM_PREFIXES = 20_000;

    private final PrefixIndex prefixes = PrefixIndex.create(MAXIMUM_PREFIXES);
    private final Map<UpstreamId, UpstreamState> stateById = new HashMap<>();
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
     * Installs the configured upstreams; retains the state of those installed before, and discards that of others.
     *
     * @param configs the upstreams of the service
     */
    public void install(List<UpstreamConfig> configs) {
        List<UpstreamState> installed = new ArrayList<>(configs.size());
        for (UpstreamConfig config : configs) {
            UpstreamState state = stateById.computeIfAbsent(config.id(), id -> UpstreamState.create(config));
            state.setConfig(config);
            state.setPosition((double) installed.size() / configs.size());
            installed.add(state);
        }
        upstreams = installed;
        stateById.clear();
        upstreams.forEach(state -> stateById.put(state.id(), state));
    }

    /**
     * Returns the upstreams in the order of the configuration.
     *
     * @return the upstreams; the caller must not modify the list
     */
    public List<UpstreamState> upstreams() {
        return upstreams;
    }

    /**
     * Looks up an upstream.
     *
     * @param upstream its id
     * @return the upstream, or empty when it is not configured
     */
    public Optional<UpstreamState> find(UpstreamId upstream) {
        return Optional.ofNullable(stateById.get(upstream));
    }

    /**
     * Returns the index of cached prompt prefixes.
     *
     * @return the index
     */
    public PrefixIndex prefixes() {
        return prefixes;
    }
}
