package org.cactusshift.internal.coordination.serving;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Looks up the route of a request by host and longest path prefix. Immutable. */
public final class RouteTable {
    private final Map<String, Map<String, ServedRoute>> routeByPrefixByHost = new HashMap<>();

    private RouteTable() {}

    /**
     * Returns a table of routes.
     *
     * @param routes the routes; of two with the same host and prefix the later one is used
     * @return the table
     */
    public static RouteTable of(Collection<ServedRoute> routes) {
        RouteTable table = new RouteTable();
        for (ServedRoute route : routes) {
            table.routeByPrefixByHost
                    .computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
        return table;
    }

    /**
     * Returns the route of a request.
     *
     * @param hostHeader the value of the host header, with or without a port
     * @param target the request target; a query is ignored
     * @return the route, empty when none matches
     */
    public Optional<ServedRoute> find(String hostHeader, String target) {
        Map<String, ServedRoute> routeByPrefix = routeByPrefixByHost.get(hostName(hostHeader));
        if (routeByPrefix == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        // Every prefix ends with a slash, so only prefixes of the path that end with a slash are looked up, longest
        // first.
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            ServedRoute route = routeByPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String hostName(String hostHeader) {
        int port = hostHeader.indexOf(':');
        String host = port < 0 ? hostHeader : hostHeader.substring(0, port);
        return host.toLowerCase(Locale.ROOT);
    }
}
