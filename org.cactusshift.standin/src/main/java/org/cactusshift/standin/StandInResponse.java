package org.cactusshift.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** A response of a stand-in, with a complete or a streamed body. */
public final class StandInResponse {
    /** Status of a success. */
    public static final int OK = 200;

    /** Status of a malformed request. */
    public static final int BAD_REQUEST = 400;

    /** Status of an unknown path or resource. */
    public static final int NOT_FOUND = 404;

    /** Status of a request that conflicts with the current state. */
    public static final int CONFLICT = 409;

    /** Status of a request over the rate limit. */
    public static final int TOO_MANY_REQUESTS = 429;

    /** Status of an internal error; the effect of the request is unknown. */
    public static final int SERVER_ERROR = 500;

    /** Status of a request that was refused before it ran. */
    public static final int UNAVAILABLE = 503;

    private final int status;

    private final Map<String, String> headers = new LinkedHashMap<>();

    private final String contentType;

    private final byte[] body;

    private final StandInStream.Writer writer;

    private StandInResponse(int status, String contentType, byte[] body, StandInStream.Writer writer) {
        this.status = status;
        this.contentType = contentType;
        this.body = body;
        this.writer = writer;
    }

    /**
     * Returns a response with a JSON body.
     *
     * @param status the HTTP status
     * @param body the body
     * @return the response
     */
    public static StandInResponse json(int status, JsonNode body) {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        return new StandInResponse(status, "application/json", bytes, null);
    }

    /**
     * Returns a response with a binary body.
     *
     * @param body the bytes
     * @return the response with status 200
     */
    public static StandInResponse bytes(byte[] body) {
        return new StandInResponse(OK, "application/octet-stream", body.clone(), null);
    }

    /**
     * Returns a response with a streamed body.
     *
     * @param contentType the media type of the body
     * @param writer writes the body
     * @return the response with status 200
     */
    public static StandInResponse stream(String contentType, StandInStream.Writer writer) {
        return new StandInResponse(OK, contentType, null, writer);
    }

    /**
     * Returns an error in the JSON format of the OpenAI API.
     *
     * @param status the HTTP status
     * @param code the error code
     * @return the response
     */
    public static StandInResponse error(int status, String code) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.putObject("error")
                .put("message", code)
                .put("type", "stand_in_error")
                .put("code", code);
        return json(status, root);
    }

    /**
     * Adds a header.
     *
     * @param name the name
     * @param value the value
     * @return this response
     */
    public StandInResponse withHeader(String name, String value) {
        headers.put(name, value);
        return this;
    }

    /**
     * Returns the status.
     *
     * @return the HTTP status
     */
    public int status() {
        return status;
    }

    Map<String, String> headers() {
        return headers;
    }

    String contentType() {
        return contentType;
    }

    /**
     * Returns the complete body.
     *
     * @return the bytes; null when the body is streamed
     */
    public byte[] body() {
        return body;
    }

    Optional<StandInStream.Writer> writer() {
        return Optional.ofNullable(writer);
    }
}
