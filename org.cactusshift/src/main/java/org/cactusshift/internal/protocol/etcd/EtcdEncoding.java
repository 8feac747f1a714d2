package org.cactusshift.internal.protocol.etcd;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;

/** Encodes keys, values and prefix ranges in base64 and decodes keys, as the etcd v3 JSON API requires. */
public final class EtcdEncoding {
    /** The first key when it starts a range; as the end of a range, it stands for no upper bound. */
    private static final byte[] ZERO_BYTE = {0};

    private EtcdEncoding() {}

    /**
     * Encodes a text in UTF-8 and base64.
     *
     * @param text the text
     * @return the base64 string
     */
    public static String encode(String text) {
        return encode(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Encodes bytes in base64.
     *
     * @param bytes the bytes
     * @return the base64 string
     */
    public static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    /**
     * Decodes a base64 string to a text in UTF-8.
     *
     * @param base64 the base64 string
     * @return the text
     * @throws IllegalArgumentException if the string is not base64
     */
    public static String decodeUtf8(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }

    /**
     * Returns the start of the key range of a prefix.
     *
     * @param prefix the prefix; empty for all keys
     * @return the first key of the range in base64
     */
    public static String rangeStart(String prefix) {
        return prefix.isEmpty() ? encode(ZERO_BYTE) : encode(prefix);
    }

    /**
     * Returns the end of the key range of a prefix.
     *
     * @param prefix the prefix; empty for all keys
     * @return the first key after the range in base64, or a zero byte in base64, which stands for no upper bound
     */
    public static String rangeEnd(String prefix) {
        byte[] bytes = prefix.getBytes(StandardCharsets.UTF_8);
        for (int i = bytes.length - 1; i >= 0; i--) {
            if (bytes[i] != (byte) 0xff) {
                byte[] end = Arrays.copyOf(bytes, i + 1);
                end[i]++;
                return encode(end);
            }
        }
        return encode(ZERO_BYTE);
    }
}
