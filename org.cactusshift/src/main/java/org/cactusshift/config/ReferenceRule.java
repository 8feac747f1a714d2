package org.cactusshift.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/** Checks that referenced ids exist, that keys and addresses are unique and that upstream addresses are well-formed. */
final class ReferenceRule implements ConfigRule {
    @Override
    public void check(JsonNode document, ProblemCollector problems) {
        checkAccounts(document, problems);
        checkUpstreams(document, problems);
    }

    private static void checkAccounts(JsonNode document, ProblemCollector problems) {
        Map<String, String> accountByKey = new HashMap<>();
        for (Map.Entry<String, JsonNode> account :
                document.path(SiteConfigFields.ACCOUNTS).properties()) {
            JsonNode services = account.getValue().path("services");
            for (int i = 0; i < services.size(); i++) {
                String[] path = {SiteConfigFields.ACCOUNTS, account.getKey(), "services", Integer.toString(i)};
                checkExists(document, SiteConfigFields.SERVICES, services.path(i), problems, path);
            }
            for (Map.Entry<String, JsonNode> key :
                    account.getValue().path("keys").properties()) {
                String otherAccount = accountByKey.putIfAbsent(key.getKey(), account.getKey());
                if (otherAccount != null) {
                    problems.add(
                            "key is already used by client account " + otherAccount,
                            SiteConfigFields.ACCOUNTS,
                            account.getKey(),
                            "keys",
                            key.getKey());
                }
            }
        }
    }

    private static void checkUpstreams(JsonNode document, ProblemCollector problems) {
        Map<String, String> upstreamByAddress = new HashMap<>();
        for (Map.Entry<String, JsonNode> upstream :
                document.path(SiteConfigFields.UPSTREAMS).properties()) {
            String id = upstream.getKey();
            JsonNode fields = upstream.getValue();
            checkExists(document, SiteConfigFields.SERVICES, fields.path("service"), problems, pathOf(id, "service"));
            checkExists(
                    document,
                    SiteConfigFields.FAILURE_DOMAINS,
                    fields.path("failureDomain"),
                    problems,
                    pathOf(id, "failureDomain"));
            checkAddress(upstreamByAddress, id, fields.path("address"), problems);
        }
    }

    private static void checkAddress(
            Map<String, String> upstreamByAddress, String id, JsonNode address, ProblemCollector problems) {
        if (!address.isTextual()) {
            return;
        }
        if (SocketAddresses.parsePort(address.textValue()).orElse(0) == 0) {
            problems.add(
                    "is not of the form ADDRESS:PORT with an IP address and a port from 1 to 65535",
                    pathOf(id, "address"));
        }
        String otherUpstream = upstreamByAddress.putIfAbsent(address.textValue(), id);
        if (otherUpstream != null) {
            problems.add("address is already used by upstream " + otherUpstream, pathOf(id, "address"));
        }
    }

    private static void checkExists(
            JsonNode document, String collection, JsonNode reference, ProblemCollector problems, String... path) {
        if (reference.isTextual() && !document.path(collection).has(reference.textValue())) {
            problems.add("refers to " + reference + ", which is not defined in /" + collection, path);
        }
    }

    private static String[] pathOf(String upstream, String field) {
        return new String[] {SiteConfigFields.UPSTREAMS, upstream, field};
    }
}
