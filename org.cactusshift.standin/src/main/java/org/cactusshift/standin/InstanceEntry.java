package org.cactusshift.standin;

/**
 * One instance in the platform's list.
 *
 * @param instanceId the instance; for an upstream, the upstream id
 * @param kind what it is
 * @param address where it serves, as {@code ADDRESS:PORT}
 * @param peerAddress where other nodes connect; empty for an upstream
 * @param failureDomain where it runs
 * @param state whether it is leaving
 */
public record InstanceEntry(
        String instanceId, Kind kind, String address, String peerAddress, String failureDomain, State state) {
    /** What an instance is. */
    public enum Kind {
        /** An instance of the product. */
        ENTRY,
        /** An upstream. */
        UPSTREAM
    }

    /** Whether an instance stays. */
    public enum State {
        /** It stays. */
        LIVE,
        /** It was told to leave. */
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
