package org.cactusshift.internal.coordination.order;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.ServiceId;

/** The content of an order: the action that it requests of an engine or of the platform. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = OrderContent.SetRole.class, name = "set_role"),
    @JsonSubTypes.Type(value = OrderContent.LoadVersion.class, name = "load_version"),
    @JsonSubTypes.Type(value = OrderContent.LoadAdapter.class, name = "load_adapter"),
    @JsonSubTypes.Type(value = OrderContent.PlaceUpstreams.class, name = "place_upstreams"),
    @JsonSubTypes.Type(value = OrderContent.ReleaseUpstreams.class, name = "release_upstreams")
})
public sealed interface OrderContent {
    /**
     * Changes the role of an engine.
     *
     * @param role the new role
     */
    record SetRole(UpstreamConfig.Role role) implements OrderContent {}

    /**
     * Loads a version of the model on an engine.
     *
     * @param version the version
     */
    record LoadVersion(String version) implements OrderContent {}

    /**
     * Loads an adapter on an engine.
     *
     * @param adapter the adapter
     */
    record LoadAdapter(String adapter) implements OrderContent {}

    /**
     * Starts upstreams in a failure domain; an order to the platform.
     *
     * @param service the service of the upstreams
     * @param count the number of upstreams
     * @param reclaimable whether the platform may reclaim them at short notice
     */
    record PlaceUpstreams(ServiceId service, int count, boolean reclaimable) implements OrderContent {}

    /**
     * Releases upstreams to the platform.
     *
     * @param placedOrder the platform's id of the order that started them
     */
    record ReleaseUpstreams(String placedOrder) implements OrderContent {}
}
