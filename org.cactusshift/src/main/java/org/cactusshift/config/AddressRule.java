package org.cactusshift.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that the addresses in the settings of a node are well-formed and that its listen addresses differ. */
final class AddressRule implements ConfigRule {
    private static final List<String> LISTEN_FIELDS = List.of("callerAddress", "operatorAddress", "peerAddress");
    private static final List<String> PEER_AND_STORE_FIELDS = List.of("peerAddresses", "storeAddresses");
    private static final List<String> PLATFORM_FIELDS =
            List.of("instanceListAddress", "orderingAddress", "usageAddress", "traceAddress");

    @Override
    public void check(JsonNode document, ProblemCollector problems) {
        Map<String, String> fieldByAddress = new HashMap<>();
        for (String field : LISTEN_FIELDS) {
            JsonNode address = document.path(field);
            checkFormat(address, true, problems, field);
            checkDistinct(fieldByAddress, field, address, problems);
        }
        for (String field : PEER_AND_STORE_FIELDS) {
            for (int i = 0; i < document.path(field).size(); i++) {
                checkFormat(document.path(field).path(i), false, problems, field, Integer.toString(i));
            }
        }
        for (String field : PLATFORM_FIELDS) {
            checkFormat(document.path(field), false, problems, field);
        }
    }

    private static void checkFormat(
            JsonNode address, boolean allowPortZero, ProblemCollector problems, String... path) {
        if (!address.isTextual()) {
            return;
        }
        int port = SocketAddresses.parsePort(address.textValue()).orElse(-1);
        if (port < 0 || (port == 0 && !allowPortZero)) {
            problems.add(
                    "is not of the form ADDRESS:PORT with an IP address and a port from 1 (to listen: 0) to 65535",
                    path);
        }
    }

    private static void checkDistinct(
            Map<String, String> fieldByAddress, String field, JsonNode address, ProblemCollector problems) {
        // Port 0 selects a free port, so it never collides.
        if (!address.isTextual() || address.textValue().endsWith(":0")) {
            return;
        }
        String otherField = fieldByAddress.putIfAbsent(address.textValue(), field);
        if (otherField != null) {
            problems.add("is the same address as " + otherField, field);
        }
    }
}
