package org.cactusshift.internal.protocol.openai;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An error in the envelope of the OpenAI API.
 *
 * @param status the HTTP status
 * @param message a description of the error for people
 * @param type the class of the error
 * @param param the invalid field, or null
 * @param code the name of the error for programs
 */
public record ApiError(int status, String message, String type, String param, String code) {
    /** The type of an error in the caller's request, which the caller can correct. */
    public static final String INVALID_REQUEST = "invalid_request_error";

    private static final int BAD_REQUEST = 400;

    /**
     * Returns an error about a field of the request.
     *
     * @param param the field, or null for the request as a whole
     * @param message a description of the error
     * @return the error, with status 400
     */
    public static ApiError badRequest(String param, String message) {
        return new ApiError(BAD_REQUEST, message, INVALID_REQUEST, param, "bad_request");
    }

    /**
     * Returns an error that concerns no field.
     *
     * @param status the HTTP status
     * @param type the class of the error
     * @param code the name of the error
     * @param message a description of the error
     * @return the error
     */
    public static ApiError of(int status, String type, String code, String message) {
        return new ApiError(status, message, type, null, code);
    }

    /**
     * Returns the error in its JSON envelope.
     *
     * @return the JSON text
     */
    public String toJson() {
        ObjectNode root = Json.newObject();
        ObjectNode error = root.putObject("error");
        error.put("message", message);
        error.put("type", type);
        error.put("param", param);
        error.put("code", code);
        return Json.write(root);
    }
}
