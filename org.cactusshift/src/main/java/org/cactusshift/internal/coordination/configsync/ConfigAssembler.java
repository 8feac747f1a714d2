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
 * Turns the parts of a version into a configuration; parses only parts that changed since the version before.
 *
 * <p>Accounts of unchanged parts are the same objects as before, by which others can tell what changed. Not safe for
 * several threads.
 */
final class ConfigAssembler {
    private Map<String, PartContent> contentByDigest = Map.of();

    /** The parsed content of one part. */
    private record PartContent(List<AccountConfig> accounts, List<UpstreamConfig> upstreams, ObjectNode rest) {}

    /**
     * Returns the configuration of a whole bundle.
     *
     * @throws IOException if a part is malformed
     */
    SiteConfig assemble(ConfigIndex index, Map<String, byte[]> parts) throws IOException {
        Map<String, PartContent> contents = new HashMap<>();
        List<AccountConfig> accounts = new ArrayList<>();
        List<UpstreamConfig> upstreams = new ArrayList<>();
        ObjectNode rest = JsonNodeFactory.instance.objectNode();
        for (ConfigPartRef part : index.parts()) {
            PartContent known = contentByDigest.get(part.digest());
            PartContent content = known == null ? parse(parts.get(part.name())) : known;
            contents.put(part.digest(), content);
            accounts.addAll(content.accounts());
            upstreams.addAll(content.upstreams());
            rest.setAll(content.rest());
        }
        accounts.sort(Comparator.comparing(AccountConfig::id));
        upstreams.sort(Comparator.comparing(UpstreamConfig::id));
        SiteConfig config = withItems(SiteConfigCodec.fromTree(rest), accounts, upstreams);
        contentByDigest = contents;
        return config;
    }

    private static PartContent parse(byte[] bytes) throws IOException {
        JsonNode tree = Json.mapper().readTree(bytes);
        if (!tree.isObject()) {
            throw new IOException("a configuration part is not a JSON object");
        }
        ObjectNode rest = tree.deepCopy();
        JsonNode accounts = rest.path(SiteConfigFields.ACCOUNTS);
        JsonNode upstreams = rest.path(SiteConfigFields.UPSTREAMS);
        rest.remove(List.of(SiteConfigFields.ACCOUNTS, SiteConfigFields.UPSTREAMS));
        return new PartContent(SiteConfigCodec.accounts(accounts), SiteConfigCodec.upstreams(upstreams), rest);
    }

    private static SiteConfig withItems(SiteConfig rest, List<AccountConfig> accounts, List<UpstreamConfig> upstreams) {
        return new SiteConfig(
                rest.schemaVersion(),
                rest.site(),
                rest.shutdownDate(),
                rest.failureDomains(),
                accounts,
                rest.services(),
                upstreams,
                rest.limits(),
                rest.timing());
    }
}
