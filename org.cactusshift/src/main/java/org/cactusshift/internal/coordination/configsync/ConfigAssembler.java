package org.cactusshift.internal.coordination.configsync;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cactusshift.config.AccountConfig;
import org.cactusshift.config.Json;
import org.cactusshift.config.SiteConfig;
import org.cactusshift.config.SiteConfigCodec;
import org.cactusshift.config.SiteConfigFields;
import org.cactusshift.config.UpstreamConfig;

/**
 * Assembles a configuration from the parts of a version; parses only the parts that changed since the previous version.
 *
 * <p>Accounts and upstreams of unchanged parts are the same objects as before, so that listeners can detect changes by
 * identity. Not thread-safe.
 */
final class ConfigAssembler {
    private Map<String, PartContent> contentByDigest = Map.of();

    /** The parsed content of one part. */
    private record PartContent(List<AccountConfig> accounts, List<UpstreamConfig> upstreams, ObjectNode otherFields) {}

    /**
     * Returns the configuration of a version.
     *
     * @param index the index of the version
     * @param parts all parts of the index by name
     * @return the configuration
     * @throws IOException if a part is malformed
     */
    SiteConfig assemble(ConfigIndex index, Map<String, byte[]> parts) throws IOException {
        Map<String, PartContent> contents = new HashMap<>();
        List<AccountConfig> accounts = new ArrayList<>();
        List<UpstreamConfig> upstreams = new ArrayList<>();
        ObjectNode otherFields = JsonNodeFactory.instance.objectNode();
        for (ConfigPartRef part : index.parts()) {
            PartContent cached = contentByDigest.get(part.digest());
            PartContent content = cached == null ? parse(parts.get(part.name())) : cached;
            contents.put(part.digest(), content);
            accounts.addAll(content.accounts());
            upstreams.addAll(content.upstreams());
            otherFields.setAll(content.otherFields());
        }
        accounts.sort(Comparator.comparing(AccountConfig::id));
        upstreams.sort(Comparator.comparing(UpstreamConfig::id));
        SiteConfig config = withAccountsAndUpstreams(SiteConfigCodec.fromTree(otherFields), accounts, upstreams);
        contentByDigest = contents;
        return config;
    }

    private static PartContent parse(byte[] bytes) throws IOException {
        JsonNode tree = Json.mapper().readTree(bytes);
        if (!tree.isObject()) {
            throw new IOException("configuration part is not a JSON object");
        }
        ObjectNode otherFields = tree.deepCopy();
        JsonNode accounts = otherFields.path(SiteConfigFields.ACCOUNTS);
        JsonNode upstreams = otherFields.path(SiteConfigFields.UPSTREAMS);
        otherFields.remove(List.of(SiteConfigFields.ACCOUNTS, SiteConfigFields.UPSTREAMS));
        return new PartContent(SiteConfigCodec.accounts(accounts), SiteConfigCodec.upstreams(upstreams), otherFields);
    }

    private static SiteConfig withAccountsAndUpstreams(
            SiteConfig otherFields, List<AccountConfig> accounts, List<UpstreamConfig> upstreams) {
        return new SiteConfig(
                otherFields.schemaVersion(),
                otherFields.site(),
                otherFields.shutdownDate(),
                otherFields.failureDomains(),
                accounts,
                otherFields.services(),
                upstreams,
                otherFields.limits(),
                otherFields.timing());
    }
}
