package org.cactusshift.standin;

/**
 * An entry of the platform's list of instances.
 *
 * @param instanceId the instance id; for an upstream, its upstream id
 * @param kind the kind of instance
 * @param address the address on which it serves requests, as {@code ADDRESS:PORT}
 * @param peerAddress the address to which peers connect; empty for an upstream
 * @param failureDomain the failure domain
 * @param state whether the platform has announced that it will stop the instance
 */
public record InstanceEntry(
        String instanceId, Kind kind, String address, String peerAddress, String failureDomain, State state) {
    /** The kind of an instance. */
    public enum Kind {
        /** An instance that runs a node; unlike in the name of this record, not an element of the list. */
        ENTRY,
        /** An upstream. */
        UPSTREAM
    }

    /** The state of an instance. */
    public enum State {
        /** The instance is in service. */
        LIVE,
        /** The platform has announced that it will stop the instance. */
        LEAVING
    }

    /**
     * Returns this entry with another state.
     *
     * @param state the state
     * @return the entry
     */
    public InstanceEntry withState(State state) {
        return new InstanceEntry(instanceId, kind, address, peerAddress, failureDomain, state);
    }
}
