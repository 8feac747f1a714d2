package org.cactusshift.internal.protocol.etcd;

import java.io.IOException;

/** Signals an answer that is not of the form that the etcd v3 JSON interface defines. */
public class EtcdFormatException extends IOException {
    private static final long serialVersionUID = 1L;

    EtcdFormatException(String message) {
        super(message);
    }

    EtcdFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
