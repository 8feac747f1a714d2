package org.cactusshift.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/** Checks that ids that are referred to exist and that keys and addresses are used once. */
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
                String other = accountByKey.putIfAbsent(key.getKey(), account.getKey());
                if (other != null) {
                    problems.add(
                            "key is already in use by account " + other,
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
            problems.add("is not an IP address and port", pathOf(id, "address"));
        }
        String other = upstreamByAddress.putIfAbsent(address.textValue(), id);
        if (other != null) {
            problems.add("address is already in use by upstream " + other, pathOf(id, "address"));
        }
    }

    private static void checkExists(
            JsonNode document, String collection, JsonNode reference, ProblemCollector problems, String... path) {
        if (reference.isTextual() && !document.path(collection).has(reference.textValue())) {
            problems.add("names " + reference + ", which is not in /" + collection, path);
        }
    }

    private static String[] pathOf(String upstream, String field) {
        return new String[] {SiteConfigFields.UPSTREAMS, upstream, field};
    }
}
