package org.cactusshift.replay;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.nio.file.Path;

/** Maps traces and reports to JSON, with snake-case names in a fixed order. */
final class TraceJson {
    static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
            .build();

    private TraceJson() {}

    static boolean hasGzipName(Path path) {
        return path.toString().endsWith(".gz");
    }
}
