package org.cactusshift.internal.protocol.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Parses and validates requests for completions. Unknown fields are not validated; {@link EngineRequest} passes them to
 * the engine unchanged, except for the fields that callers must not set.
 */
public final class CompletionRequestParser {
    private static final int MAXIMUM_MODEL_CHARS = 128;

    private static final List<String> POSITIVE_INTEGER_FIELDS = List.of("max_tokens", "max_completion_tokens");
    private static final List<String> NUMBER_FIELDS =
            List.of("temperature", "top_p", "presence_penalty", "frequency_penalty");
    private static final List<String> OBJECT_FIELDS = List.of("stream_options", "logit_bias", "metadata");

    private CompletionRequestParser() {}

    /**
     * Parses the body of a request.
     *
     * @param kind the kind of completion that the path selects
     * @param body the body
     * @return the request, or the error for an invalid one
     */
    public static Either<ApiError, CompletionRequest> parse(CompletionRequest.Kind kind, byte[] body) {
        Optional<ObjectNode> parsed = Json.readObject(body);
        if (parsed.isEmpty()) {
            return Either.left(ApiError.badRequest(null, "the body is not one JSON object"));
        }
        ObjectNode root = parsed.get();
        Optional<ApiError> error = checkModel(root).or(() -> checkOptions(root));
        if (error.isPresent()) {
            return Either.left(error.get());
        }
        Either<ApiError, String> prompt =
                kind == CompletionRequest.Kind.CHAT ? chatPrompt(root.get("messages")) : textPrompt(root.get("prompt"));
        return prompt.map(
                text -> new CompletionRequest(kind, root, root.get("model").textValue(), text));
    }

    private static Optional<ApiError> checkModel(ObjectNode root) {
        JsonNode model = root.get("model");
        if (model == null || !model.isTextual() || model.textValue().isEmpty()) {
            return invalidField("model", "must be a non-empty string");
        }
        if (model.textValue().length() > MAXIMUM_MODEL_CHARS) {
            return invalidField("model", "is longer than " + MAXIMUM_MODEL_CHARS + " characters");
        }
        return Optional.empty();
    }

    private static Optional<ApiError> checkOptions(ObjectNode root) {
        return check(root, List.of("stream"), JsonNode::isBoolean, "must be a boolean")
                .or(() -> check(
                        root,
                        POSITIVE_INTEGER_FIELDS,
                        CompletionRequestParser::isPositiveInt,
                        "must be an integer above 0"))
                .or(() -> check(root, NUMBER_FIELDS, JsonNode::isNumber, "must be a number"))
                .or(() -> check(root, OBJECT_FIELDS, JsonNode::isObject, "must be an object"))
                // Only the first choice of a response is read.
                .or(() -> check(root, List.of("n", "best_of"), CompletionRequestParser::isOne, "must be 1"))
                .or(() -> check(
                        root,
                        List.of("stop"),
                        CompletionRequestParser::isStringOrStringArray,
                        "must be a string or strings"))
                .or(() -> check(root, List.of("tools"), JsonNode::isArray, "must be an array"))
                .or(() -> checkIncludeUsage(root));
    }

    private static Optional<ApiError> checkIncludeUsage(ObjectNode root) {
        JsonNode include = root.path("stream_options").path("include_usage");
        if (include.isMissingNode() || include.isNull() || include.isBoolean()) {
            return Optional.empty();
        }
        return invalidField("stream_options.include_usage", "must be a boolean");
    }

    private static Optional<ApiError> check(
            ObjectNode root, List<String> fields, Predicate<JsonNode> isValid, String rule) {
        for (String field : fields) {
            JsonNode node = root.get(field);
            if (node != null && !node.isNull() && !isValid.test(node)) {
                return invalidField(field, rule);
            }
        }
        return Optional.empty();
    }

    private static boolean isPositiveInt(JsonNode node) {
        return node.isIntegralNumber() && node.canConvertToInt() && node.intValue() > 0;
    }

    private static boolean isOne(JsonNode node) {
        return node.isIntegralNumber() && node.canConvertToInt() && node.intValue() == 1;
    }

    private static boolean isStringOrStringArray(JsonNode node) {
        if (!node.isArray()) {
            return node.isTextual();
        }
        for (JsonNode entry : node) {
            if (!entry.isTextual()) {
                return false;
            }
        }
        return true;
    }

    private static Either<ApiError, String> textPrompt(JsonNode prompt) {
        if (prompt != null && prompt.isTextual()) {
            return Either.right(prompt.textValue());
        }
        if (prompt != null
                && prompt.isArray()
                && prompt.size() == 1
                && prompt.get(0).isTextual()) {
            return Either.right(prompt.get(0).textValue());
        }
        return Either.left(ApiError.badRequest("prompt", "prompt must be one string"));
    }

    private static Either<ApiError, String> chatPrompt(JsonNode messages) {
        if (messages == null || !messages.isArray() || messages.isEmpty()) {
            return Either.left(ApiError.badRequest("messages", "messages must be a non-empty array"));
        }
        StringBuilder prompt = new StringBuilder();
        for (int i = 0; i < messages.size(); i++) {
            JsonNode message = messages.get(i);
            String name = "messages[" + i + "]";
            JsonNode role = message.get("role");
            if (role == null || !role.isTextual() || role.textValue().isEmpty()) {
                return Either.left(ApiError.badRequest(name + ".role", name + ".role must be a non-empty string"));
            }
            Optional<String> content = content(message.get("content"));
            if (content.isEmpty()) {
                return Either.left(ApiError.badRequest(
                        name + ".content", name + ".content must be a string or an array of parts"));
            }
            prompt.append(role.textValue()).append('\n').append(content.get()).append('\n');
        }
        return Either.right(prompt.toString());
    }

    private static Optional<String> content(JsonNode content) {
        if (content == null || content.isNull()) {
            // As in a message that consists of tool calls.
            return Optional.of("");
        }
        if (content.isTextual()) {
            return Optional.of(content.textValue());
        }
        if (!content.isArray()) {
            return Optional.empty();
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode part : content) {
            JsonNode partText = part.get("text");
            if (!part.isObject() || partText != null && !partText.isTextual()) {
                return Optional.empty();
            }
            text.append(partText == null ? "" : partText.textValue());
        }
        return Optional.of(text.toString());
    }

    private static Optional<ApiError> invalidField(String field, String rule) {
        return Optional.of(ApiError.badRequest(field, field + " " + rule));
    }
}
