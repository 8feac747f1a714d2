package org.cactusshift.internal.transport.platform;

/**
 * A complete HTTP response.
 *
 * @param status the HTTP status
 * @param body the body, empty if there is none
 */
record PlatformResponse(int status, byte[] body) {
    private static final int FIRST_NON_SUCCESS_STATUS = 300;

    boolean isSuccess() {
        return status < FIRST_NON_SUCCESS_STATUS;
    }
}
