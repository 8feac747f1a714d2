package org.cactusshift.internal.coordination.order;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.cactusshift.config.UpstreamConfig;
import org.cactusshift.id.ServiceId;

/** What an order asks for. */
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
     * An engine takes another role.
     *
     * @param role the role
     */
    record SetRole(UpstreamConfig.Role role) implements OrderContent {}

    /**
     * An engine loads a version of its model.
     *
     * @param version the version
     */
    record LoadVersion(String version) implements OrderContent {}

    /**
     * An engine loads an adapter.
     *
     * @param adapter the adapter
     */
    record LoadAdapter(String adapter) implements OrderContent {}

    /**
     * The platform starts upstreams in a failure domain.
     *
     * @param service the service that they are for
     * @param count how many
     * @param reclaimable whether the platform may take them back at short notice
     */
    record PlaceUpstreams(ServiceId service, int count, boolean reclaimable) implements OrderContent {}

    /**
     * The platform takes upstreams back.
     *
     * @param placedOrder the platform's id of the order that started them
     */
    record ReleaseUpstreams(String placedOrder) implements OrderContent {}
}
