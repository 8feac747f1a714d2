package org.cactusshift.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.cactusshift.errors.ConfigProblem;
import org.cactusshift.errors.InvalidConfigException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NodeSettingsLoaderTest {
    static final String SETTINGS = "{\"instanceId\":\"entry-1\",\"site\":\"be-coast\",\"failureDomain\":\"ostend-a\","
            + "\"callerAddress\":\"127.0.0.1:0\",\"operatorAddress\":\"127.0.0.1:0\","
            + "\"peerAddress\":\"127.0.0.1:7000\","
            + "\"peerAddresses\":[\"127.0.0.1:7001\"],\"storeAddresses\":[\"127.0.0.1:2379\"],"
            + "\"usageAddress\":\"[::1]:9000\",\"keyHashSecretHex\":\"00112233445566778899aabbccddeeff\"}";

    private final NodeSettingsLoader loader = NodeSettingsLoader.create();

    @Test
    void loadsSettingsWithOptionalOnesAbsent() throws Exception {
        NodeSettings settings = loader.load(ConfigFile.of("node.json", SETTINGS));

        assertEquals("entry-1", settings.instanceId().value());
        assertEquals(List.of("127.0.0.1:7001"), settings.peerAddresses());
        assertEquals(Optional.of("[::1]:9000"), settings.usageAddress());
        assertEquals(Optional.empty(), settings.tls());
        // Settings that are written as JSON and loaded again are equal.
        assertEquals(settings, loader.load(new ConfigFile("again", Json.mapper().writeValueAsBytes(settings))));
    }

    @Test
    void toStringOmitsTheSecret() throws Exception {
        NodeSettings settings = loader.load(ConfigFile.of("node.json", SETTINGS));

        assertFalse(settings.toString().contains(settings.keyHashSecretHex()));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "instanceId       | null                   | /instanceId",
                "site             | \"a b\"                | /site",
                "callerAddress    | \"localhost:80\"       | /callerAddress",
                // The peerAddress is the same, and is reported.
                "callerAddress    | \"127.0.0.1:7000\"     | /peerAddress",
                "storeAddresses   | []                     | /storeAddresses",
                "storeAddresses   | [\"127.0.0.1:0\"]      | /storeAddresses/0",
                "peerAddresses    | [\"256.0.0.1:1\"]      | /peerAddresses/0",
                "usageAddress     | \"127.0.0.1:70000\"    | /usageAddress",
                "keyHashSecretHex | \"0011\"               | /keyHashSecretHex",
                "tls              | {}                     | /tls/trustFile",
                "surplus          | 1                      | /surplus",
            })
    void reportsTheInvalidField(String field, String value, String pointer) throws Exception {
        ObjectNode settings = (ObjectNode) Json.mapper().readTree(SETTINGS);
        settings.set(field, Json.mapper().readTree(value));
        ConfigFile file = ConfigFile.of("node.json", settings.toString());

        List<ConfigProblem> problems = assertThrows(InvalidConfigException.class, () -> loader.load(file))
                .problems();
        assertEquals("node.json", problems.get(0).file());
        // Without a problem at the pointer, the message shows all problems.
        assertEquals(
                pointer,
                problems.stream()
                        .map(ConfigProblem::pointer)
                        .filter(pointer::equals)
                        .findFirst()
                        .orElse(problems.toString()));
    }
}
