package org.cactusshift.internal.protocol.etcd;

import java.io.IOException;

/** Signals a malformed response of the etcd v3 JSON API. */
public class EtcdFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    EtcdFormatException(String message) {
        super(message);
    }

    EtcdFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
