package org.cactusshift.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Checks that services and upstreams fit each other and the failure domains. */
final class ServiceUpstreamRule implements ConfigRule {
    private static final String MODEL = ServiceConfig.Kind.MODEL.name();

    @Override
    public void check(JsonNode document, ProblemCollector problems) {
        for (Map.Entry<String, JsonNode> service :
                document.path(SiteConfigFields.SERVICES).properties()) {
            checkService(document, service.getKey(), service.getValue(), problems);
        }
        checkFailureDomains(document, problems);
    }

    private static void checkService(JsonNode document, String id, JsonNode service, ProblemCollector problems) {
        boolean model = MODEL.equals(service.path("kind").asText());
        Set<UpstreamConfig.Role> roles = EnumSet.noneOf(UpstreamConfig.Role.class);
        for (Map.Entry<String, JsonNode> upstream :
                document.path(SiteConfigFields.UPSTREAMS).properties()) {
            if (id.equals(upstream.getValue().path("service").textValue())) {
                checkUpstream(model, upstream.getKey(), upstream.getValue(), problems);
                roles.add(roleOf(upstream.getValue()));
            }
        }
        if (roles.isEmpty()) {
            problems.add("has no upstream", SiteConfigFields.SERVICES, id);
        } else if (roles.size() == 1 && !roles.contains(UpstreamConfig.Role.MIXED)) {
            problems.add("has only upstreams with role " + roles, SiteConfigFields.SERVICES, id);
        }
        checkKind(model, id, service, problems);
    }

    private static void checkKind(boolean model, String id, JsonNode service, ProblemCollector problems) {
        boolean versioned = !service.path("activeVersion").asText("").isEmpty();
        if (model && !versioned) {
            problems.add("a model needs a version", SiteConfigFields.SERVICES, id, "activeVersion");
        }
        if (!model && versioned) {
            problems.add("a plain service has no version", SiteConfigFields.SERVICES, id, "activeVersion");
        }
        if (model && service.path("openRoute").asBoolean()) {
            problems.add(
                    "a model can't be open, as its usage has no account", SiteConfigFields.SERVICES, id, "openRoute");
        }
    }

    private static void checkUpstream(boolean model, String id, JsonNode upstream, ProblemCollector problems) {
        boolean hasMemory = upstream.path("memoryPieces").asInt() > 0;
        if (model && !hasMemory) {
            problems.add("a model engine needs memory", SiteConfigFields.UPSTREAMS, id, "memoryPieces");
        }
        if (!model && hasMemory) {
            problems.add("a plain upstream has no KV cache", SiteConfigFields.UPSTREAMS, id, "memoryPieces");
        }
        if (!model && roleOf(upstream) != UpstreamConfig.Role.MIXED) {
            problems.add("a plain upstream has no role but MIXED", SiteConfigFields.UPSTREAMS, id, "role");
        }
    }

    private static UpstreamConfig.Role roleOf(JsonNode upstream) {
        for (UpstreamConfig.Role role : UpstreamConfig.Role.values()) {
            if (role.name().equals(upstream.path("role").textValue())) {
                return role;
            }
        }
        return UpstreamConfig.Role.MIXED;
    }

    private static void checkFailureDomains(JsonNode document, ProblemCollector problems) {
        Map<String, Integer> upstreams = new HashMap<>();
        for (JsonNode upstream : document.path(SiteConfigFields.UPSTREAMS)) {
            upstreams.merge(upstream.path("failureDomain").asText(), 1, Integer::sum);
        }
        for (Map.Entry<String, JsonNode> domain :
                document.path(SiteConfigFields.FAILURE_DOMAINS).properties()) {
            JsonNode maximum = domain.getValue().path("maximumUpstreams");
            int declared = upstreams.getOrDefault(domain.getKey(), 0);
            if (maximum.canConvertToInt() && declared > maximum.intValue()) {
                problems.add(
                        "is below the " + declared + " upstreams declared there",
                        SiteConfigFields.FAILURE_DOMAINS,
                        domain.getKey(),
                        "maximumUpstreams");
            }
        }
    }
}
