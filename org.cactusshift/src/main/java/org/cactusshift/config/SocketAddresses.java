package org.cactusshift.config;

import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks addresses of the form {@code ADDRESS:PORT} with an IP literal; resolves no names. */
final class SocketAddresses {
    private static final Pattern IPV4 = Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
    private static final Pattern IPV6 = Pattern.compile("\\[[0-9a-fA-F:]{2,39}\\]:(\\d{1,5})");
    private static final int MAXIMUM_OCTET = 255;
    private static final int MAXIMUM_PORT = 65_535;
    private static final int OCTETS = 4;

    private SocketAddresses() {}

    /** Returns the port, or empty when the text is no such address. */
    static OptionalInt parsePort(String address) {
        Matcher v4 = IPV4.matcher(address);
        if (v4.matches()) {
            for (int group = 1; group <= OCTETS; group++) {
                if (Integer.parseInt(v4.group(group)) > MAXIMUM_OCTET) {
                    return OptionalInt.empty();
                }
            }
            return checkedPort(v4.group(OCTETS + 1));
        }
        Matcher v6 = IPV6.matcher(address);
        return v6.matches() ? checkedPort(v6.group(1)) : OptionalInt.empty();
    }

    private static OptionalInt checkedPort(String text) {
        int port = Integer.parseInt(text);
        return port <= MAXIMUM_PORT ? OptionalInt.of(port) : OptionalInt.empty();
    }
}
