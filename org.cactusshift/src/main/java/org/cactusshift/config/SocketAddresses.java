package org.cactusshift.config;

import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses addresses of the form {@code ADDRESS:PORT} with a literal IP address; does not resolve host names. */
final class SocketAddresses {
    private static final Pattern IPV4 = Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
    private static final Pattern IPV6 = Pattern.compile("\\[[0-9a-fA-F:]{2,39}\\]:(\\d{1,5})");
    private static final int MAXIMUM_OCTET = 255;
    private static final int MAXIMUM_PORT = 65_535;
    private static final int OCTETS = 4;

    private SocketAddresses() {}

    /** Returns the port, or empty when the text is not such an address. */
    static OptionalInt parsePort(String address) {
        Matcher ipv4 = IPV4.matcher(address);
        if (ipv4.matches()) {
            for (int group = 1; group <= OCTETS; group++) {
                if (Integer.parseInt(ipv4.group(group)) > MAXIMUM_OCTET) {
                    return OptionalInt.empty();
                }
            }
            return checkedPort(ipv4.group(OCTETS + 1));
        }
        Matcher ipv6 = IPV6.matcher(address);
        return ipv6.matches() ? checkedPort(ipv6.group(1)) : OptionalInt.empty();
    }

    private static OptionalInt checkedPort(String text) {
        int port = Integer.parseInt(text);
        return port <= MAXIMUM_PORT ? OptionalInt.of(port) : OptionalInt.empty();
    }
}
