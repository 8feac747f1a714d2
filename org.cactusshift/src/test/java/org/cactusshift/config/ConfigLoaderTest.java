package org.cactusshift.config;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.cactusshift.errors.ConfigProblem;
import org.cactusshift.errors.InvalidConfigException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigLoaderTest {
    private final ConfigLoader loader = ConfigLoader.create();

    @ParameterizedTest
    @CsvSource({"be-coast,share-lm,8,settle-app,4", "gh-south,steward-lm,6,fund-ledger,4"})
    void exampleSitesHaveTheExpectedAccountsAndUpstreams(
            String site, String model, int engines, String plainService, int plainUpstreams) throws Exception {
        SiteConfig config = ExampleConfigs.site(site);

        assertEquals(site, config.site().value());
        assertEquals(4, config.failureDomains().size());
        assertEquals(8, config.accounts().size());
        assertEquals(engines, upstreamCount(config, model));
        assertEquals(plainUpstreams, upstreamCount(config, plainService));
        assertTrue(config.upstreams().stream().anyMatch(UpstreamConfig::reclaimable));
    }

    @ParameterizedTest
    @CsvSource({"be-coast", "gh-south"})
    void convertsBothWaysWithoutLoss(String site) throws Exception {
        SiteConfig config = ExampleConfigs.site(site);
        JsonNode tree = SiteConfigCodec.toTree(config);

        assertEquals(config, SiteConfigCodec.fromTree(tree));
        assertArrayEquals(Json.canonicalBytes(tree), Json.canonicalBytes(SiteConfigCodec.toTree(config)));
        assertEquals(config, loader.validate("memory", config));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"upstreams\":{\"share-lm-1\":{\"service\":\"absent\"}}} | /upstreams/share-lm-1/service | overlay",
                "{\"upstreams\":{\"share-lm-1\":{\"failureDomain\":\"x\"}}} | /upstreams/share-lm-1/failureDomain"
                        + " | overlay",
                "{\"upstreams\":{\"share-lm-1\":{\"address\":\"127.0.0.1:9101\"}}} | /upstreams/share-lm-2/address"
                        + " | overlay",
                "{\"upstreams\":{\"share-lm-1\":{\"address\":\"host:1\"}}} | /upstreams/share-lm-1/address | overlay",
                "{\"upstreams\":{\"share-lm-1\":{\"pricePerHour\":-1}}} | /upstreams/share-lm-1/pricePerHour | overlay",
                "{\"upstreams\":{\"share-lm-1\":{\"memoryPieces\":0}}} | /upstreams/share-lm-1/memoryPieces | overlay",
                "{\"upstreams\":{\"notices-1\":null}} | /services/notices | overlay",
                "{\"failureDomains\":{\"ostend-a\":{\"maximumUpstreams\":1}}}"
                        + " | /failureDomains/ostend-a/maximumUpstreams | overlay",
                "{\"accounts\":{\"auditors\":{\"weight\":0}}} | /accounts/auditors/weight | overlay",
                "{\"accounts\":{\"auditors\":{\"services\":[\"absent\"]}}} | /accounts/auditors/services/0 | overlay",
                "{\"accounts\":{\"auditors\":{\"keys\":{\"k\":{\"hash\":\"md5:1\"}}}}}"
                        + " | /accounts/auditors/keys/k/hash | overlay",
                "{\"accounts\":{\"a b\":{}}} | /accounts/a b | overlay",
                "{\"services\":{\"share-lm\":{\"activeVersion\":null}}} | /services/share-lm/activeVersion | overlay",
                "{\"services\":{\"share-lm\":{\"openRoute\":true}}} | /services/share-lm/openRoute | overlay",
                "{\"shutdownDate\":\"2028-02-30\"} | /shutdownDate | overlay",
                // The problem is reported for suspicionMillis, which the base sets.
                "{\"timing\":{\"heartbeatMillis\":1500}} | /timing/suspicionMillis | base",
                "{\"timing\":{\"suspicionMillis\":600}} | /timing/suspicionMillis | overlay",
                "{\"timing\":{\"heartbeat\":600}} | /timing/heartbeat | overlay",
                "{\"timing\":{\"leaseTtlMillis\":null}} | /timing/leaseTtlMillis | overlay",
                "{\"schemaVersion\":2} | /schemaVersion | overlay",
                "{\"limits\":[1]} | /limits | overlay",
            })
    void reportsInvalidValueWithFilePointerAndReason(String patch, String pointer, String file) throws Exception {
        List<ConfigProblem> problems = problemsOf(patch);

        assertTrue(
                problems.stream()
                        .anyMatch(p -> p.pointer().equals(pointer)
                                && p.file().equals(file)
                                && !p.reason().isBlank()),
                () -> "problems: " + problems);
    }

    @Test
    void reportsAllProblemsAtOnce() throws Exception {
        List<ConfigProblem> problems = problemsOf("{\"shutdownDate\":\"2028-02-30\",\"extra\":1,"
                + "\"upstreams\":{\"share-lm-1\":{\"service\":\"absent\",\"pricePerHour\":\"cheap\"}}}");

        assertEquals(
                List.of(
                        "/extra",
                        "/shutdownDate",
                        "/upstreams/share-lm-1/pricePerHour",
                        "/upstreams/share-lm-1/service"),
                problems.stream().map(ConfigProblem::pointer).toList());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"{", "[]", "'{\"site\":\"a\",\"site\":\"b\"}'", "{} {}", "''", "{\"a\":1e}", "{\"a\":[1e999]}"})
    void reportsUnreadableFiles(String content) {
        ConfigFile file = ConfigFile.of("broken", content);

        InvalidConfigException e =
                assertThrows(InvalidConfigException.class, () -> loader.load(ExampleConfigs.base(), Optional.of(file)));
        assertEquals("broken", e.problems().get(0).file());
    }

    private List<ConfigProblem> problemsOf(String patch) throws Exception {
        JsonNode base = Json.mapper().readTree(ExampleConfigs.base().content());
        JsonNode siteOverlay =
                Json.mapper().readTree(ExampleConfigs.overlay("be-coast").content());
        JsonNode patchTree = Json.mapper().readTree(patch);
        ConfigFile overlay = ConfigFile.of(
                "overlay", mergeKeepingNulls(siteOverlay, patchTree).toString());
        ConfigFile baseFile = ConfigFile.of("base", base.toString());
        return assertThrows(InvalidConfigException.class, () -> loader.load(baseFile, Optional.of(overlay)))
                .problems();
    }

    /** Merges a patch into an overlay and keeps the nulls of the patch, so that they remove values of the base. */
    private static JsonNode mergeKeepingNulls(JsonNode overlay, JsonNode patch) {
        if (!overlay.isObject() || !patch.isObject()) {
            return patch;
        }
        ObjectNode merged = overlay.deepCopy();
        patch.properties()
                .forEach(field ->
                        merged.set(field.getKey(), mergeKeepingNulls(merged.path(field.getKey()), field.getValue())));
        return merged;
    }

    private static long upstreamCount(SiteConfig config, String service) {
        return config.upstreams().stream()
                .filter(upstream -> upstream.service().value().equals(service))
                .count();
    }
}
