package org.cactusshift.config;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.util.List;
import org.cactusshift.id.AccountId;
import org.cactusshift.id.AttemptId;
import org.cactusshift.id.FailureDomainId;
import org.cactusshift.id.IncarnationId;
import org.cactusshift.id.InstanceId;
import org.cactusshift.id.KeyId;
import org.cactusshift.id.OrderId;
import org.cactusshift.id.RequestId;
import org.cactusshift.id.ServiceId;
import org.cactusshift.id.SiteId;
import org.cactusshift.id.UpstreamId;

/**
 * Provides the JSON mapper and the canonical encoding; ids are strings, dates are in ISO form, unknown and duplicate
 * fields are errors.
 */
public final class Json {
    private static final List<Class<?>> ID_TYPES = List.of(
            AccountId.class,
            AttemptId.class,
            FailureDomainId.class,
            IncarnationId.class,
            InstanceId.class,
            KeyId.class,
            OrderId.class,
            RequestId.class,
            ServiceId.class,
            SiteId.class,
            UpstreamId.class);

    private static final JsonMapper MAPPER = createMapper();

    private Json() {}

    /**
     * Returns the shared mapper.
     *
     * @return the mapper, thread-safe; must not be reconfigured
     */
    public static JsonMapper mapper() {
        return MAPPER;
    }

    /**
     * Encodes a tree with sorted fields and without white space, so that equal trees give equal bytes.
     *
     * @param tree the tree
     * @return the bytes, in UTF-8
     */
    public static byte[] canonicalBytes(JsonNode tree) {
        try {
            return MAPPER.writer()
                    .with(JsonNodeFeature.WRITE_PROPERTIES_SORTED)
                    .without(SerializationFeature.INDENT_OUTPUT)
                    .writeValueAsBytes(tree);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("JSON tree could not be encoded", e);
        }
    }

    private static JsonMapper createMapper() {
        return JsonMapper.builder()
                .addModule(new Jdk8Module())
                .addModule(new JavaTimeModule())
                .addModule(idModule())
                .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
                .defaultPropertyInclusion(
                        JsonInclude.Value.construct(JsonInclude.Include.NON_ABSENT, JsonInclude.Include.ALWAYS))
                .build();
    }

    private static SimpleModule idModule() {
        SimpleModule module = new SimpleModule("cactusshift-ids");
        ID_TYPES.forEach(type -> module.setMixInAnnotation(type, IdMixIn.class));
        return module;
    }

    /** Declares that the id types are encoded as plain strings. */
    private abstract static class IdMixIn {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        static Object fromString(String value) {
            throw new UnsupportedOperationException("a mix-in only declares annotations");
        }

        @JsonValue
        abstract String value();
    }
}
