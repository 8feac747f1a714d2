package org.cactusshift.internal.transport.store;

import java.util.List;

/**
 * Addresses, timeouts and pool size of the key-value store client.
 *
 * @param addresses the addresses of the store as {@code ADDRESS:PORT}, tried in turn
 * @param connectTimeoutMillis the longest time to open a connection, in milliseconds
 * @param callTimeoutMillis the longest time of one call on one connection, in milliseconds
 * @param watchTimeoutMillis the longest time without a message before a watch ends, in milliseconds; must be longer
 *     than the interval of the store's progress notifications
 * @param idleConnectionsPerAddress the maximum number of idle connections for each address
 */
public record EtcdStoreSettings(
        List<String> addresses,
        long connectTimeoutMillis,
        long callTimeoutMillis,
        long watchTimeoutMillis,
        int idleConnectionsPerAddress) {
    private static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 500;

    private static final long DEFAULT_CALL_TIMEOUT_MILLIS = 1000;

    private static final long DEFAULT_WATCH_TIMEOUT_MILLIS = 5000;

    private static final int DEFAULT_IDLE_CONNECTIONS_PER_ADDRESS = 8;

    /** Copies the list of addresses and checks that it isn't empty. */
    public EtcdStoreSettings {
        addresses = List.copyOf(addresses);
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("no address of the key-value store is given");
        }
    }

    /**
     * Returns settings with the default limits.
     *
     * @param addresses the addresses of the store, as {@code ADDRESS:PORT}
     * @return the settings
     */
    public static EtcdStoreSettings forAddresses(List<String> addresses) {
        return new EtcdStoreSettings(
                addresses,
                DEFAULT_CONNECT_TIMEOUT_MILLIS,
                DEFAULT_CALL_TIMEOUT_MILLIS,
                DEFAULT_WATCH_TIMEOUT_MILLIS,
                DEFAULT_IDLE_CONNECTIONS_PER_ADDRESS);
    }

    /**
     * Returns a copy of these settings with other timeouts.
     *
     * @param callTimeoutMillis the longest time of one call, in milliseconds
     * @param watchTimeoutMillis the longest time without a message before a watch ends, in milliseconds
     * @return the settings
     */
    public EtcdStoreSettings withTimeouts(long callTimeoutMillis, long watchTimeoutMillis) {
        return new EtcdStoreSettings(
                addresses, connectTimeoutMillis, callTimeoutMillis, watchTimeoutMillis, idleConnectionsPerAddress);
    }
}
