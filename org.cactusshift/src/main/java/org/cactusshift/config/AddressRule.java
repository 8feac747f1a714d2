package org.cactusshift.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks the addresses in the settings of a process. */
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

    private static void checkFormat(JsonNode address, boolean anyPort, ProblemCollector problems, String... path) {
        if (!address.isTextual()) {
            return;
        }
        int port = SocketAddresses.parsePort(address.textValue()).orElse(-1);
        if (port < 0 || (port == 0 && !anyPort)) {
            problems.add("is not an IP address and port", path);
        }
    }

    private static void checkDistinct(
            Map<String, String> fieldByAddress, String field, JsonNode address, ProblemCollector problems) {
        if (!address.isTextual() || address.textValue().endsWith(":0")) {
            return;
        }
        String other = fieldByAddress.putIfAbsent(address.textValue(), field);
        if (other != null) {
            problems.add("is the same as " + other, field);
        }
    }
}
