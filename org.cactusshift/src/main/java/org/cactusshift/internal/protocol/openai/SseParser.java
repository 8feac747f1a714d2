package org.cactusshift.internal.protocol.openai;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Parses server-sent events from bytes that arrive in parts of any length. Comments and fields other than {@code data}
 * are dropped.
 */
public final class SseParser {
    /** Compared with the undecoded bytes of the current line plus the decoded characters of the data before it. */
    private static final int MAXIMUM_EVENT_LENGTH = 4 * 1024 * 1024;

    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private final Queue<String> events = new ArrayDeque<>();
    private boolean hasData;
    private boolean afterCarriageReturn;
    private boolean firstLine = true;

    /**
     * Parses the next bytes of the stream.
     *
     * @param bytes a buffer that holds the bytes at its start
     * @param length the number of bytes
     * @return whether the event that is not yet complete is within the size limit; after false, the parser must not be
     *     used any more
     */
    public boolean feed(byte[] bytes, int length) {
        for (int i = 0; i < length; i++) {
            acceptByte(bytes[i]);
        }
        return line.size() + data.length() <= MAXIMUM_EVENT_LENGTH;
    }

    /**
     * Returns the data of the next complete event.
     *
     * @return the data, its lines joined by line feeds, or null when no event is complete
     */
    public String poll() {
        return events.poll();
    }

    private void acceptByte(byte b) {
        if (b == '\n' && afterCarriageReturn) {
            afterCarriageReturn = false;
            return;
        }
        afterCarriageReturn = b == '\r';
        if (b == '\n' || b == '\r') {
            endLine();
        } else {
            line.write(b);
        }
    }

    private void endLine() {
        byte[] bytes = line.toByteArray();
        line.reset();
        int start = firstLine && startsWithByteOrderMark(bytes) ? BYTE_ORDER_MARK.length : 0;
        firstLine = false;
        String text = new String(bytes, start, bytes.length - start, StandardCharsets.UTF_8);
        if (text.isEmpty()) {
            endEvent();
        } else {
            processField(text);
        }
    }

    private static boolean startsWithByteOrderMark(byte[] bytes) {
        return bytes.length >= BYTE_ORDER_MARK.length
                && bytes[0] == BYTE_ORDER_MARK[0]
                && bytes[1] == BYTE_ORDER_MARK[1]
                && bytes[2] == BYTE_ORDER_MARK[2];
    }

    private void processField(String text) {
        int colon = text.indexOf(':');
        String name = colon < 0 ? text : text.substring(0, colon);
        if (!name.equals("data")) {
            return;
        }
        String value = colon < 0 ? "" : text.substring(colon + 1);
        if (hasData) {
            data.append('\n');
        }
        hasData = true;
        data.append(value.startsWith(" ") ? value.substring(1) : value);
    }

    private void endEvent() {
        if (hasData) {
            events.add(data.toString());
        }
        hasData = false;
        data.setLength(0);
    }
}
