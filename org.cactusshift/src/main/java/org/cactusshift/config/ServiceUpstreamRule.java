package org.cactusshift.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Checks that upstreams match their services and that failure domains do not exceed their maximum of upstreams. */
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
        boolean isModel = MODEL.equals(service.path("kind").asText());
        Set<UpstreamConfig.Role> roles = EnumSet.noneOf(UpstreamConfig.Role.class);
        for (Map.Entry<String, JsonNode> upstream :
                document.path(SiteConfigFields.UPSTREAMS).properties()) {
            if (id.equals(upstream.getValue().path("service").textValue())) {
                checkUpstream(isModel, upstream.getKey(), upstream.getValue(), problems);
                roles.add(roleOf(upstream.getValue()));
            }
        }
        if (roles.isEmpty()) {
            problems.add("has no upstream", SiteConfigFields.SERVICES, id);
        } else if (roles.size() == 1 && !roles.contains(UpstreamConfig.Role.MIXED)) {
            problems.add(
                    "needs MIXED upstreams, or both PREFILL and DECODE ones, but has only " + roles,
                    SiteConfigFields.SERVICES,
                    id);
        }
        checkFieldsOfKind(isModel, id, service, problems);
    }

    private static void checkFieldsOfKind(boolean isModel, String id, JsonNode service, ProblemCollector problems) {
        boolean hasVersion = !service.path("activeVersion").asText("").isEmpty();
        if (isModel && !hasVersion) {
            problems.add("is required for a model", SiteConfigFields.SERVICES, id, "activeVersion");
        }
        if (!isModel && hasVersion) {
            problems.add("must be empty for a plain service", SiteConfigFields.SERVICES, id, "activeVersion");
        }
        if (isModel && service.path("openRoute").asBoolean()) {
            problems.add(
                    "must be false for a model, as usage without a key cannot be attributed to a client account",
                    SiteConfigFields.SERVICES,
                    id,
                    "openRoute");
        }
    }

    private static void checkUpstream(boolean isModel, String id, JsonNode upstream, ProblemCollector problems) {
        boolean hasKvCache = upstream.path("memoryPieces").asInt() > 0;
        if (isModel && !hasKvCache) {
            problems.add("must be above 0 for a model engine", SiteConfigFields.UPSTREAMS, id, "memoryPieces");
        }
        if (!isModel && hasKvCache) {
            problems.add(
                    "must be 0 for an upstream of a plain service", SiteConfigFields.UPSTREAMS, id, "memoryPieces");
        }
        if (!isModel && roleOf(upstream) != UpstreamConfig.Role.MIXED) {
            problems.add("must be MIXED for an upstream of a plain service", SiteConfigFields.UPSTREAMS, id, "role");
        }
    }

    private static UpstreamConfig.Role roleOf(JsonNode upstream) {
        for (UpstreamConfig.Role role : UpstreamConfig.Role.values()) {
            if (role.name().equals(upstream.path("role").textValue())) {
                return role;
            }
        }
        // MIXED is the default; the schema reports an invalid role.
        return UpstreamConfig.Role.MIXED;
    }

    private static void checkFailureDomains(JsonNode document, ProblemCollector problems) {
        Map<String, Integer> upstreamCountByDomain = new HashMap<>();
        for (JsonNode upstream : document.path(SiteConfigFields.UPSTREAMS)) {
            upstreamCountByDomain.merge(upstream.path("failureDomain").asText(), 1, Integer::sum);
        }
        for (Map.Entry<String, JsonNode> domain :
                document.path(SiteConfigFields.FAILURE_DOMAINS).properties()) {
            JsonNode maximum = domain.getValue().path("maximumUpstreams");
            int declared = upstreamCountByDomain.getOrDefault(domain.getKey(), 0);
            if (maximum.canConvertToInt() && declared > maximum.intValue()) {
                problems.add(
                        "is below the number of upstreams declared in the failure domain, " + declared,
                        SiteConfigFields.FAILURE_DOMAINS,
                        domain.getKey(),
                        "maximumUpstreams");
            }
        }
    }
}
