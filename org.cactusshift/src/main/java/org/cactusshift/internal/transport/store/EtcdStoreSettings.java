package org.cactusshift.internal.transport.store;

import java.util.List;

/**
 * How to reach the key-value service.
 *
 * @param addresses its addresses as {@code ADDRESS:PORT}, tried in turn
 * @param connectTimeoutMillis the limit of opening one connection, in milliseconds
 * @param callTimeoutMillis the limit of one call on one connection, in milliseconds
 * @param watchTimeoutMillis how long a watch may bring nothing before it is abandoned, in milliseconds; longer than
 *     the service's interval of progress notifications
 * @param idleConnectionsPerAddress how many idle connections to keep for each address
 */
public record EtcdStoreSettings(
        List<String> addresses,
        long connectTimeoutMillis,
        long callTimeoutMillis,
        long watchTimeoutMillis,
        int idleConnectionsPerAddress) {
    private static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 500;

    private static final long DEFAULT_CALL_TIMEOUT_MILLIS = 1000;

    private static final long DEFAULT_WATCH_SILENCE_MILLIS = 5000;

    private static final int DEFAULT_IDLE_CONNECTIONS = 8;

    /** Copies the list and checks that there is an address. */
    public EtcdStoreSettings {
        addresses = List.copyOf(addresses);
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("the key-value service has no address");
        }
    }

    /**
     * Returns the settings with the usual limits.
     *
     * @param addresses the addresses of the service
     * @return the settings
     */
    public static EtcdStoreSettings forAddresses(List<String> addresses) {
        return new EtcdStoreSettings(
                addresses,
                DEFAULT_CONNECT_TIMEOUT_MILLIS,
                DEFAULT_CALL_TIMEOUT_MILLIS,
                DEFAULT_WATCH_SILENCE_MILLIS,
                DEFAULT_IDLE_CONNECTIONS);
    }

    /**
     * Returns these settings with other limits of time.
     *
     * @param callTimeoutMillis the limit of one call, in milliseconds
     * @param watchSilenceMillis the longest silence of a watch, in milliseconds
     * @return the settings
     */
    public EtcdStoreSettings withTimeouts(long callTimeoutMillis, long watchSilenceMillis) {
        return new EtcdStoreSettings(
                addresses, connectTimeoutMillis, callTimeoutMillis, watchSilenceMillis, idleConnectionsPerAddress);
    }
}
